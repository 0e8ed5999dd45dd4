#include "Fleet/replica_selector.hpp"

#include "Placement/rendezvous.hpp"

#include <algorithm>
#include <ranges>

namespace camphorpoint {

namespace {

/// A suspected replica costs as much as one that is so many times full: it is
/// taken only when all others are out.
constexpr double suspicion_cost = 1'000;
/// What failures cost: a replica that fails four in ten of its requests more
/// than its peers counts as two slots' worth fuller.
constexpr double failure_cost = 5;

/// Prompt tokens still to be read that count as much as a full batch: they
/// make all its streams pause for as long as callers take for good.
constexpr double backlog_as_full = 8'000;
/// Holders of an adapter that are compared.
constexpr std::size_t most_looks = 3;

/// A rare adapter may have so many homes, of which one with a free slot is
/// taken: with one, some replicas have adapters waiting while others have
/// slots free; with all, each node would find another.
/// Reference: Y. Azar, A. Broder, A. Karlin, E. Upfal, "Balanced allocations",
/// SIAM Journal on Computing 29(1), 1999.
constexpr std::size_t home_choices = 2;
/// Replicas that are fuller are compared only when all are.
constexpr double compared_below = 0.9;

/// A replica with so much for each slot, requests that wait for a load
/// included, turns further ones away: each would wait for a place after its
/// load.
constexpr double full_at = 1;
/// Smaller differences of failures are chance.
constexpr double noticed_failures = 0.02;

/// Only whether a slot is free counts: nodes hear of loads at other times, and
/// by them would have a rare adapter loaded at several replicas.
/// @returns true when an adapter should rather be loaded at `left`
bool freer(replica const& left, replica const& right) {
    return left.free_slots > 0 && right.free_slots <= 0;
}

bool holds_model(replica const& each, model_id const& model) {
    return model.empty() || std::ranges::find(each.record.models, model) !=
                                each.record.models.end();
}

} // namespace

double replica_selector::utilization(replica const& each, instant now) {
    return each.load() + each.backlog(now) / backlog_as_full;
}

double
replica_selector::utilization(replica_usage const& total, unsigned slots) {
    double const load = total.running / std::max(1.0, 1.0 * slots);
    return load + total.backlog_tokens / backlog_as_full;
}

bool replica_selector::has_capacity(
    replica_usage const& total, unsigned slots) {
    return utilization(total, slots) < full_at;
}

bool replica_selector::holds(
    replica const& each, replica_requirements const& need) const {
    if (need.adapter.empty()) {
        return holds_model(each, need.model);
    }
    auto const found = each.adapters.find(need.adapter);
    return found != each.adapters.end() && !found->second.unloading &&
           found->second.version >= need.min_version;
}

bool replica_selector::usable(
    replica const& each, replica_requirements const& need, instant now) const {
    return each.accepts_requests() &&
           each.shutdown_at > now + need.expected_time &&
           std::ranges::find(need.tried_replicas, each.record.id) ==
               need.tried_replicas.end();
}

double replica_selector::cost(
    replica const& each, replica_requirements const& need, double mean,
    instant now) const {
    double const more = each.health.failure_fraction(now) - mean;
    double const excess = more < noticed_failures ? 0 : more;
    double result = excess * failure_cost;
    result += each.health.suspected(now) ? suspicion_cost : 0;
    return result + utilization(each, now);
}

std::vector<replica*> replica_selector::candidates(
    replica_requirements const& need, instant now) const {
    std::vector<replica*> found;
    for (replica* const each : fleet_->of_service(need.service)) {
        if (usable(*each, need, now) && holds(*each, need)) {
            found.push_back(each);
        }
    }
    return found;
}

std::vector<replica*> replica_selector::compared_replicas(
    replica_requirements const& need, instant now) const {
    auto all = candidates(need, now);
    auto const others =
        std::partition(all.begin(), all.end(), [&](replica* each) {
            return !each->health.suspected(now) &&
                   utilization(*each, now) < compared_below;
        });
    if (others != all.begin()) {
        all.erase(others, all.end());
    }
    // Word from other nodes is older than the time between two requests. All
    // that pick the least loaded one by the same old word would pick the same
    // one; the better of some drawn at random spreads as well as fresh word.
    // Reference: M. Mitzenmacher, "How useful is old information?", IEEE
    // Transactions on Parallel and Distributed Systems 11(1), 2000.
    std::size_t const looks =
        need.adapter.empty() ? all.size() : std::min(all.size(), most_looks);
    std::uint64_t rest = need.random_sample;
    for (std::size_t look = 0; look < looks; ++look) {
        std::size_t const left = all.size() - look;
        std::swap(all[look], all[look + rest % left]);
        rest /= left;
    }
    all.resize(looks);
    return all;
}

replica*
replica_selector::best(replica_requirements const& need, instant now) const {
    auto const all = compared_replicas(need, now);
    if (all.empty()) {
        return nullptr;
    }
    double failures = 0;
    for (replica const* const each : all) {
        failures += each->health.failure_fraction(now);
    }
    double const mean = failures / static_cast<double>(all.size());
    return *std::ranges::min_element(all, {}, [&](replica const* each) {
        return cost(*each, need, mean, now);
    });
}

replica* replica_selector::next_preferred_replica(
    replica_requirements const& need, instant now) const {
    std::vector<endpoint_id> open;
    for (replica const* const each : fleet_->of_service(need.service)) {
        // One that holds an older version would have to end its runs first.
        auto const held = each->adapters.find(need.adapter);
        bool const lies_there =
            held != each->adapters.end() && !held->second.unloading;
        if (usable(*each, need, now) && !each->denial(need.adapter, now) &&
            !lies_there && holds_model(*each, need.model) &&
            !each->health.suspected(now)) {
            open.push_back(each->record.id);
        }
    }
    // The order alone decides, so that all nodes ask for a rare adapter at the
    // same replica. Whoever orders there knows best whether it has a place, and
    // turns requests away beyond; by what each node has heard of the crowding
    // they would load it at several, and from the store though its own home
    // still keeps a copy.
    auto const ranked = rendezvous_top(need.adapter.str(), open, open.size());
    replica* keeper = nullptr;
    replica* freest = nullptr;
    std::size_t looked_at = 0;
    for (endpoint_id const& id : ranked) {
        replica* const each = fleet_->find(id);
        if (each->has_cached(need.adapter) &&
            (keeper == nullptr || freer(*each, *keeper))) {
            keeper = each;
        }
        if (looked_at < home_choices &&
            (freest == nullptr || freer(*each, *freest))) {
            freest = each;
        }
        ++looked_at;
    }
    return keeper != nullptr ? keeper : freest;
}

replica* replica_selector::soonest_ready_replica(
    replica_requirements const& need, instant now) const {
    replica* soonest = nullptr;
    instant first = instant::max();
    for (replica* const each : fleet_->of_service(need.service)) {
        load_denial const* const denied = each->denial(need.adapter, now);
        if (denied != nullptr && usable(*each, need, now) &&
            denied->ready_at < first) {
            soonest = each;
            first = denied->ready_at;
        }
    }
    return soonest;
}

std::size_t replica_selector::resident_count(
    replica_requirements const& need, instant now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        fleet_->of_service(need.service), [&](replica const* each) {
            return usable(*each, need, now) && holds(*each, need);
        }));
}

bool replica_selector::any_accepts_requests(service_id const& service) const {
    return std::ranges::any_of(
        fleet_->of_service(service),
        [](replica const* each) { return each->accepts_requests(); });
}

double replica_selector::mean_utilization(
    service_id const& service, instant now) const {
    double sum = 0;
    unsigned count = 0;
    for (replica const* const each : fleet_->of_service(service)) {
        if (each->accepts_requests() && !each->health.suspected(now)) {
            sum += utilization(*each, now);
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

} // namespace camphorpoint
