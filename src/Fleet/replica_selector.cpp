#include "Fleet/replica_selector.hpp"

#include "Placement/rendezvous.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <ranges>
#include <utility>

namespace camphorpoint {

namespace {

/// A backlog that takes this long costs as much as a full batch: it pauses all
/// streams of the replica for longer than callers accept as good service.
constexpr std::chrono::duration<double> full_backlog_time =
    std::chrono::milliseconds(400);
/// Replicas with the adapter resident that are compared for a request.
constexpr std::size_t max_compared = 3;

/// A rarely used adapter is loaded at the one of this many preferred replicas
/// that has a free slot. With a single choice some replicas have adapters
/// waiting for a slot while others have free slots; with all replicas as
/// choices each node would choose a different one.
/// Reference: Y. Azar, A. Broder, A. Karlin, E. Upfal, "Balanced allocations",
/// SIAM Journal on Computing 29(1), 1999.
constexpr std::size_t max_preferred_replicas = 2;
/// Replicas at or above this utilization are compared only when all are.
constexpr double max_compared_utilization = 0.9;

/// A replica with this utilization, counting requests that wait for a load, is
/// denied further load requests: each would have to wait for a slot even after
/// its load.
constexpr double full_utilization = 1;
/// Compares only whether a slot is free. Nodes receive usage reports at
/// different times; if they compared the load, they would have a rarely used
/// adapter loaded at several replicas.
/// @returns true when an adapter should be loaded at `left` rather than at
///          `right`
bool has_more_capacity(replica const& left, replica const& right) {
    return left.free_slots > 0 && right.free_slots <= 0;
}

/// Nodes learn of a pace at different times. Powers of two have them rank alike
/// all the same; with the pace itself each would have adapters loaded at
/// another replica.
/// @returns the part of the adapters for which the replica is the first choice,
///          relative to a replica with the usual pace
double placement_weight(double pace) {
    return std::exp2(std::min(0.0, -std::round(std::log2(pace))));
}

/// From this many avoided replicas on that are half of all, the cause is not
/// the replicas: the others could not take their load, and requests are sent by
/// cost.
constexpr std::ptrdiff_t min_common_failures = 2;

bool fail_in_common(std::vector<replica*> const& all, instant now) {
    auto const avoided = std::ranges::count_if(
        all, [&](replica const* each) { return each->avoided(now); });
    return avoided >= min_common_failures && 2 * avoided >= std::ssize(all);
}

/// No request for an adapter is sent to a replica that is fuller than this.
constexpr double max_probed_utilization = 1.25;

/// Guards against requests for an adapter that are refused for want of room at
/// the replica that is tried, although others have some. Plain services queue
/// requests themselves.
/// @returns true when this node may send the request to the replica as a probe
bool can_probe(
    replica const& each, replica_requirements const& requirements,
    instant now) {
    bool const has_room =
        requirements.adapter.empty() ||
        replica_selector::utilization(each, now) < max_probed_utilization;
    return has_room && each.probe_permitted(now);
}

/// Removes the replicas that their controllers advise against.
/// @returns the removed ones
std::vector<replica*> remove_avoided(
    std::vector<replica*>& all, replica_requirements const& requirements,
    instant now) {
    auto const avoided = [&](replica const* each) {
        return each->avoided(now) || can_probe(*each, requirements, now);
    };
    std::vector<replica*> removed;
    std::ranges::copy_if(all, std::back_inserter(removed), avoided);
    std::erase_if(all, avoided);
    return removed;
}

/// @returns true when this node hears nothing of the replica, so that others
///          are preferred
bool stands_still(
    replica const& each, replica_requirements const& requirements,
    instant now) {
    // A single request may take long, or have lost its connection.
    auto const usual = each.running_local > 1
                           ? requirements.longest_usual_silence
                           : std::nullopt;
    return each.falls_silent(usual, now) ||
           (requirements.only_answering && each.silent_since_stall());
}

bool is_suspect(
    replica const& each, replica_requirements const& requirements,
    instant now) {
    return each.health.suspected(now) || stands_still(each, requirements, now);
}

/// Guards against a replica that looked full to this node long ago, was not
/// asked for since, and is avoided by now: of full replicas those are compared
/// whose usage is known.
void remove_unknown(
    std::vector<replica*>& all, replica_requirements const& requirements,
    instant now) {
    auto const known = [&](replica const* each) {
        return each->usage_known(now) && !is_suspect(*each, requirements, now);
    };
    if (std::ranges::any_of(all, known)) {
        std::erase_if(all, std::not_fn(known));
    }
}

/// @param avoided one of these is asked for in place of a compared one
/// @returns the number of replicas that are compared for the request at most
std::size_t compared_limit(
    replica_requirements const& requirements,
    std::vector<replica*> const& avoided) {
    return requirements.adapter.empty()
               ? std::numeric_limits<std::size_t>::max()
               : max_compared - std::min<std::size_t>(avoided.size(), 1);
}

bool runs_software(
    replica const& each, replica_requirements const& requirements) {
    return !requirements.software ||
           make_software_key(each.record.software) == *requirements.software;
}

bool has_model(replica const& each, model_id const& model) {
    return model.empty() || std::ranges::find(each.record.models, model) !=
                                each.record.models.end();
}

} // namespace

double replica_selector::utilization(replica const& each, instant now) {
    return load_in_time(each.load(), each.slowness(now)) +
           each.backlog_time(now) / full_backlog_time;
}

double replica_selector::utilization(
    replica_usage const& total, unsigned slots, replica_speed const& speed) {
    double const load = total.running / std::max(1.0, 1.0 * slots);
    std::chrono::duration<double> const token = speed.token_time;
    return load_in_time(load, speed.pace) +
           total.backlog_tokens * token / full_backlog_time;
}

bool replica_selector::has_capacity(
    replica_usage const& total, unsigned slots, replica_speed const& speed) {
    return utilization(total, slots, speed) < full_utilization;
}

bool replica_selector::satisfies(
    replica const& each, replica_requirements const& requirements) const {
    if (requirements.adapter.empty()) {
        return has_model(each, requirements.model);
    }
    auto const found = each.adapters.find(requirements.adapter);
    return found != each.adapters.end() && !found->second.unloading &&
           found->second.version >= requirements.min_version;
}

bool replica_selector::suits(
    replica const& each, replica_requirements const& requirements) const {
    return each.accepts_requests() &&
           each.record.service == requirements.service &&
           runs_software(each, requirements) && satisfies(each, requirements);
}

bool replica_selector::is_eligible(
    replica const& each, replica_requirements const& requirements,
    instant now) const {
    return now >= usable_from(each, requirements) &&
           may_become_eligible(each, requirements, now);
}

instant replica_selector::usable_from(
    replica const& each, replica_requirements const& requirements) {
    instant expected = std::max(each.unanswered_until, each.resting_until);
    for (slot_denial const& denial : requirements.slot_denials) {
        if (denial.replica == each.record.id) {
            expected = std::max(expected, denial.until);
        }
    }
    return expected;
}

bool replica_selector::may_become_eligible(
    replica const& each, replica_requirements const& requirements,
    instant now) const {
    return each.accepts_requests() && runs_software(each, requirements) &&
           now + requirements.permit_budget >= each.permit_from &&
           each.shutdown_at > now + requirements.expected_time &&
           std::ranges::find(requirements.tried_replicas, each.record.id) ==
               requirements.tried_replicas.end();
}

std::vector<replica*> const& replica_selector::possible_replicas(
    replica_requirements const& requirements) const {
    return requirements.adapter.empty()
               ? fleet_->of_service(requirements.service)
               : fleet_->with_adapter(requirements.adapter);
}

std::vector<replica*> replica_selector::candidates(
    replica_requirements const& requirements, instant now) const {
    std::vector<replica*> found;
    for (replica* const each : possible_replicas(requirements)) {
        if (each->record.service == requirements.service &&
            is_eligible(*each, requirements, now) &&
            satisfies(*each, requirements)) {
            found.push_back(each);
        }
    }
    return found;
}

replica_selector::choice replica_selector::make_choice(
    replica_requirements const& requirements, choice_step step,
    instant now) const {
    auto all = candidates(requirements, now);
    bool const in_common = fail_in_common(all, now);
    std::vector<replica*> avoided = remove_avoided(all, requirements, now);
    // A replica that looked full long ago may be idle or fail by now. Were it
    // not asked for, it would be left out, or chosen, by that old report.
    bool const with_full = step == choice_step::ask &&
                           all.size() <= compared_limit(requirements, avoided);
    auto const others =
        std::partition(all.begin(), all.end(), [&](replica* each) {
            return !is_suspect(*each, requirements, now) &&
                   !each->yields_to_others(now) &&
                   (with_full ||
                    utilization(*each, now) < max_compared_utilization);
        });
    if (others != all.begin()) {
        all.erase(others, all.end());
    } else {
        remove_unknown(all, requirements, now);
        if (in_common) {
            std::erase_if(avoided, [&](replica const* each) {
                return !all.empty() && stands_still(*each, requirements, now);
            });
            all.insert(all.end(), avoided.begin(), avoided.end());
            avoided.clear();
        }
    }
    if (!requirements.adapter.empty() && !avoided.empty()) {
        // One of them is asked for in place of the last compared one.
        std::swap(
            avoided.front(),
            avoided[requirements.random_sample % avoided.size()]);
        avoided.resize(1);
    }
    // Usage reports from other nodes are older than the time between two
    // requests. If all nodes chose the least loaded replica by the same old
    // reports, they would all choose the same one. Choosing the best of a few
    // random candidates spreads requests as well as fresh reports would.
    // Reference: M. Mitzenmacher, "How useful is old information?", IEEE
    // Transactions on Parallel and Distributed Systems 11(1), 2000.
    std::size_t const compared_count =
        std::min(all.size(), compared_limit(requirements, avoided));
    std::uint64_t random_left = requirements.random_sample;
    for (std::size_t index = 0; index < compared_count; ++index) {
        std::size_t const remaining = all.size() - index;
        std::swap(all[index], all[index + random_left % remaining]);
        random_left /= remaining;
    }
    all.resize(compared_count);
    return {std::move(all), std::move(avoided)};
}

std::vector<replica*> replica_selector::compared_replicas(
    replica_requirements const& requirements, instant now) const {
    choice of = make_choice(requirements, choice_step::ask, now);
    of.compared.insert(of.compared.end(), of.avoided.begin(), of.avoided.end());
    return std::move(of.compared);
}

replica* replica_selector::best(
    replica_requirements const& requirements, instant now) const {
    choice const of = make_choice(requirements, choice_step::send, now);
    auto const permitted = [&](replica const* each) {
        return can_probe(*each, requirements, now);
    };
    for (auto const* const each : {&of.avoided, &of.compared}) {
        auto const probed = std::ranges::find_if(*each, permitted);
        if (probed != each->end()) {
            return *probed;
        }
    }
    auto const& all = of.compared.empty() ? of.avoided : of.compared;
    if (all.empty()) {
        return nullptr;
    }
    double failures = 0;
    for (replica const* const each : all) {
        failures += each->failure_probability(now);
    }
    double const mean = failures / static_cast<double>(all.size());
    return *std::ranges::min_element(all, {}, [&](replica const* each) {
        return expected_answer_time(*each, requirements.work, mean, now);
    });
}

replica* replica_selector::next_preferred_replica(
    replica_requirements const& requirements, instant now) const {
    std::vector<endpoint_id> eligible;
    for (replica const* const each : fleet_->of_service(requirements.service)) {
        // A replica with an older version resident would first have to complete
        // the requests that use it.
        auto const entry = each->adapters.find(requirements.adapter);
        bool const is_resident =
            entry != each->adapters.end() && !entry->second.unloading;
        if (is_eligible(*each, requirements, now) &&
            !each->load_rejection_of(requirements.adapter, now) &&
            !is_resident && has_model(*each, requirements.model) &&
            !each->rate_limit && !each->distrusted(now)) {
            eligible.push_back(each->record.id);
        }
    }
    // The rendezvous ranking alone decides, so that all nodes request the load
    // of a rarely used adapter at the same replica. The replica's controller
    // knows best whether the replica has capacity, and denies further requests.
    // If each node decided by the usage reports that it has received, the nodes
    // would load the adapter at several replicas, and from the weight store
    // although its preferred replica still has it cached.
    auto const ranked = weighted_rendezvous(
        requirements.adapter.str(), eligible, [&](endpoint_id const& id) {
            return placement_weight(fleet_->find(id)->speed.pace);
        });
    replica* with_cached = nullptr;
    replica* with_free_slot = nullptr;
    std::size_t visited = 0;
    for (endpoint_id const& id : ranked) {
        replica* const each = fleet_->find(id);
        if (each->has_cached(requirements.adapter) &&
            (with_cached == nullptr ||
             has_more_capacity(*each, *with_cached))) {
            with_cached = each;
        }
        if (visited < max_preferred_replicas &&
            (with_free_slot == nullptr ||
             has_more_capacity(*each, *with_free_slot))) {
            with_free_slot = each;
        }
        ++visited;
    }
    return with_cached != nullptr ? with_cached : with_free_slot;
}

replica* replica_selector::soonest_ready_replica(
    replica_requirements const& requirements, instant now) const {
    replica* soonest = nullptr;
    instant earliest = instant::max();
    for (replica* const each : fleet_->of_service(requirements.service)) {
        load_rejection const* const denied =
            each->load_rejection_of(requirements.adapter, now);
        if (denied != nullptr && is_eligible(*each, requirements, now) &&
            denied->ready_at < earliest) {
            soonest = each;
            earliest = denied->ready_at;
        }
    }
    return soonest;
}

std::optional<duration> replica_selector::permit_wait(
    replica_requirements const& requirements, instant now) const {
    std::optional<duration> shortest;
    for (replica const* const each : fleet_->of_service(requirements.service)) {
        if (now < each->permit_from && suits(*each, requirements)) {
            duration const wait = each->permit_from - now;
            shortest = std::min(shortest.value_or(wait), wait);
        }
    }
    return shortest;
}

std::optional<duration> replica_selector::usable_wait(
    replica_requirements const& requirements, instant now) const {
    std::optional<duration> shortest;
    for (replica const* const each : fleet_->of_service(requirements.service)) {
        duration const wait = usable_from(*each, requirements) - now;
        if (wait > duration::zero() && satisfies(*each, requirements) &&
            may_become_eligible(*each, requirements, now)) {
            shortest = std::min(shortest.value_or(wait), wait);
        }
    }
    return shortest;
}

std::size_t replica_selector::resident_count(
    replica_requirements const& requirements, instant now) const {
    return candidates(requirements, now).size();
}

bool replica_selector::any_accepts_requests(
    replica_requirements const& requirements) const {
    return std::ranges::any_of(
        fleet_->of_service(requirements.service), [&](replica const* each) {
            return each->accepts_requests() &&
                   runs_software(*each, requirements);
        });
}

double replica_selector::mean_utilization(
    service_id const& service, instant now) const {
    double sum = 0;
    unsigned count = 0;
    for (replica const* const each : fleet_->of_service(service)) {
        if (each->accepts_requests() && !each->distrusted(now)) {
            sum += utilization(*each, now);
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

} // namespace camphorpoint
