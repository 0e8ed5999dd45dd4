#pragma once

#include "Core/hash.hpp"
#include "Core/moving_average.hpp"
#include "Placement/placement.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace camphorpoint {

// Member functions of the class template `placement`.

namespace internal {

/// Exponential decay.
/// @returns the weight of a value after this time, from 0 to 1
inline double decay_weight(duration passed, duration half_life) {
    double const half_lives = static_cast<double>(passed.count()) /
                              static_cast<double>(half_life.count());
    return std::exp2(-std::max(0.0, half_lives));
}

inline duration scaled(duration span, double factor) {
    return duration(
        static_cast<duration::rep>(static_cast<double>(span.count()) * factor));
}

} // namespace internal

template <placement_policy Policy>
placement<Policy>::placement(placement_settings const& settings)
    : settings_(settings)
    , prefixes_(settings.max_prefix_hints, settings.prefix_hint_lifetime)
    , service_time_(settings.service_time)
    , mean_service_seconds_(
          std::chrono::duration<double>(settings.service_time).count())
    , load_time_(settings.load_time) {
    assert(settings.max_candidates > 0 && "max_candidates must be positive");
    assert(
        settings.queue_half_life.count() > 0 &&
        "queue_half_life must be positive");
}

template <placement_policy Policy>
void placement<Policy>::set_endpoints(
    std::vector<placement_endpoint> const& endpoints) {
    max_batch_limit_ = 1;
    for (placement_endpoint const& each : endpoints) {
        max_batch_limit_ = std::max<double>(max_batch_limit_, each.batch_limit);
    }
    if (endpoints_.set(endpoints)) {
        // Hints and candidates refer to positions that are no longer valid.
        for (auto& [adapter, entry] : adapters_) {
            entry.hints.clear();
            entry.generation = 0;
        }
    }
}

template <placement_policy Policy>
void placement<Policy>::set_nodes(std::size_t nodes) {
    settings_.nodes = std::max<std::size_t>(1, nodes);
}

template <placement_policy Policy>
typename placement<Policy>::adapter_entry&
placement<Policy>::find_or_create_entry(
    adapter_ref const& adapter, model_id const& model, instant now) {
    adapter_entry& entry = adapters_[adapter];
    entry.last_use = now;
    std::uint64_t const generation = endpoints_.generation(model);
    if (entry.generation != generation || generation == 0) {
        // All versions of an adapter have the same candidates, so that the
        // replicas' owners can load the newer version before they unload the
        // older one.
        std::uint64_t const key = hash_text(adapter.id.str());
        entry.candidates = endpoints_.top(model, key, settings_.max_candidates);
        entry.generation = generation;
    }
    return entry;
}

template <placement_policy Policy>
std::size_t placement<Policy>::target_replica_count(
    adapter_entry const& entry, instant now) const {
    if (entry.candidates.empty()) {
        return 1;
    }
    std::uint32_t const batch =
        endpoints_.at(entry.candidates.front()).endpoint.batch_limit;
    double const cluster_rate = entry.request_rate.per_second(now) *
                                static_cast<double>(settings_.nodes);
    double const concurrent_requests =
        cluster_rate * std::chrono::duration<double>(service_time_).count();
    double const needed = std::ceil(
        concurrent_requests / (settings_.replication_batch_fraction * batch));
    return std::max<std::size_t>(1, static_cast<std::size_t>(needed));
}

template <placement_policy Policy>
duration placement<Policy>::decayed_wait(
    internal::known_endpoint const& each, instant now) const {
    // Requests sent to the replica since its last report are assumed to use its
    // free batch slots first and then to queue. Otherwise all requests of a
    // burst would go to one replica.
    std::uint32_t const limit = std::max(1U, each.endpoint.batch_limit);
    std::uint32_t const free_slots = limit - std::min(limit, each.running);
    std::uint32_t const queued_requests =
        each.sent_since - std::min(each.sent_since, free_slots);
    duration const extra = service_time_ * queued_requests / limit;
    if (!each.last_feedback_at) {
        return extra;
    }
    double const weight = internal::decay_weight(
        now - *each.last_feedback_at, settings_.queue_half_life);
    return internal::scaled(each.wait + extra, weight);
}

template <placement_policy Policy>
double placement<Policy>::batch_utilization(
    internal::known_endpoint const& each, instant now) const {
    // Assumed utilization of a replica without feedback.
    constexpr double unknown = 0.6;
    if (!each.last_feedback_at) {
        return unknown;
    }
    double const limit = std::max(1U, each.endpoint.batch_limit);
    double const reported =
        std::min(1.0, (each.running + each.sent_since) / limit);
    double const weight = internal::decay_weight(
        now - *each.last_feedback_at, settings_.queue_half_life);
    return unknown + (reported - unknown) * weight;
}

template <placement_policy Policy>
double placement<Policy>::residency(
    adapter_entry const& entry, std::size_t candidate_index, std::size_t rank,
    instant now) const {
    // Without a report, the preferred replica is the most likely one to have
    // the adapter, because the other nodes send their requests there too.
    double const prior = rank == 0 ? 0.5 : 0.0;
    internal::endpoint_index const index = entry.candidates[candidate_index];
    auto const hint =
        std::ranges::find(entry.hints, index, &residency_hint::endpoint);
    if (hint == entry.hints.end()) {
        return prior;
    }
    double const weight = internal::decay_weight(
        now - hint->reported_at, settings_.residency_half_life);
    double const reported = hint->resident ? 1.0 : 0.0;
    return prior + (reported - prior) * weight;
}

template <placement_policy Policy>
std::size_t
placement<Policy>::needed_replicas(model_id const& model, instant now) {
    std::size_t const usable = endpoints_.usable(model);
    model_demand& demand = model_demands_[model];
    demand.request_rate.add(now);
    choice_rate_.add(now);
    if (settings_.target_batch_utilization <= 0) {
        return usable;
    }
    if (demand.needed == 0) {
        demand.first_request_at = now;
    }
    // A decayed rate is too low until several half-lives have passed. Too few
    // replicas would be used until then, and requests would queue on them.
    constexpr std::chrono::seconds measurement_time{90};
    if (now - demand.first_request_at < measurement_time) {
        demand.needed = usable;
        return usable;
    }
    // A step of an engine costs about the same with a full and with an almost
    // empty batch, so that the same tokens take fewer steps on fewer engines.
    // The number of concurrent requests is their rate times their service time:
    // J. D. C. Little, "A proof for the queuing formula L = lambda W",
    // Operations Research 9(3), 1961. A request for which several replicas are
    // tried counts once.
    double const choices_per_second =
        std::max(choice_rate_.per_second(now), 1e-9);
    double const first_choice_fraction =
        std::min(1.0, request_rate_.per_second(now) / choices_per_second);
    double const rate = first_choice_fraction *
                        demand.request_rate.per_second(now) *
                        static_cast<double>(settings_.nodes);
    double const target =
        rate * mean_service_seconds_ /
        (settings_.target_batch_utilization * max_batch_limit_);
    // An increase takes effect immediately, a decrease one replica at a time:
    // each replica that is added or removed moves some adapters.
    constexpr std::chrono::seconds reduction_interval{5};
    auto const current = static_cast<double>(demand.needed);
    if (target > current + 0.5) {
        demand.needed = static_cast<std::size_t>(std::ceil(target));
        demand.last_change_at = now;
    } else if (
        target < current - 1.5 &&
        now - demand.last_change_at >= reduction_interval) {
        --demand.needed;
        demand.last_change_at = now;
    }
    return std::min(demand.needed, usable);
}

template <placement_policy Policy>
placement_candidate placement<Policy>::make_candidate(
    adapter_entry const& entry, std::size_t candidate_index, std::size_t rank,
    endpoint_id const* prefix_replica, instant now) const {
    internal::known_endpoint const& each =
        endpoints_.at(entry.candidates[candidate_index]);
    placement_candidate result;
    result.rank = rank;
    result.wait = decayed_wait(each, now);
    result.load = load_time_;
    result.batch_utilization = batch_utilization(each, now);
    result.residency = residency(entry, candidate_index, rank, now);
    result.prefix_cached =
        prefix_replica && *prefix_replica == each.endpoint.id;
    result.same_domain = each.endpoint.domain == settings_.domain;
    return result;
}

template <placement_policy Policy>
std::optional<endpoint_id> placement<Policy>::choose(
    adapter_ref const& adapter, model_id const& model, urgency how_urgent,
    std::uint64_t prefix_hash, std::vector<endpoint_id> const& excluded,
    instant now) {
    adapter_entry const& entry = find_or_create_entry(adapter, model, now);
    placement_demand const demand{how_urgent, target_replica_count(entry, now)};
    endpoint_id const* const prefix_replica =
        prefix_hash == 0 ? nullptr : prefixes_.find(prefix_hash, now);
    std::optional<internal::endpoint_index> best;
    duration lowest_cost{};
    std::size_t const needed = needed_replicas(model, now);
    std::size_t rank = 0;
    for (std::size_t candidate_index = 0;
         candidate_index < entry.candidates.size(); ++candidate_index) {
        internal::endpoint_index const index =
            entry.candidates[candidate_index];
        internal::known_endpoint const& each = endpoints_.at(index);
        bool const spare = each.activation_rank >= needed;
        std::size_t const candidate_rank =
            spare ? entry.candidates.size() : rank++;
        endpoint_id const& id = each.endpoint.id;
        if (std::ranges::find(excluded, id) != excluded.end()) {
            continue;
        }
        placement_candidate candidate = make_candidate(
            entry, candidate_index, candidate_rank, prefix_replica, now);
        candidate.spare = spare;
        duration const cost = policy_.cost(candidate, demand);
        if (!best || cost < lowest_cost) {
            best = index;
            lowest_cost = cost;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    internal::known_endpoint& chosen = endpoints_.at(*best);
    ++chosen.sent_since;
    if (prefix_hash != 0) {
        prefixes_.on_stored(prefix_hash, chosen.endpoint.id, now);
    }
    return chosen.endpoint.id;
}

template <placement_policy Policy>
void placement<Policy>::on_feedback(
    endpoint_id const& endpoint, adapter_ref const& adapter,
    replica_feedback const& feedback, instant now) {
    auto const index = endpoints_.find(endpoint);
    if (!index) {
        return;
    }
    internal::known_endpoint& known = endpoints_.at(*index);
    known.wait = feedback.expected_wait;
    // One load time is kept for all replicas because they share the weight
    // store: a long wait for the store on one replica is no reason to load the
    // adapter on another.
    load_time_ = move_average(load_time_, feedback.expected_load);
    known.running = feedback.running;
    known.last_feedback_at = now;
    known.sent_since = 0;
    auto const entry = adapters_.find(adapter);
    if (entry == adapters_.end()) {
        return;
    }
    std::vector<residency_hint>& hints = entry->second.hints;
    auto hint = std::ranges::find(hints, *index, &residency_hint::endpoint);
    if (hint == hints.end()) {
        hint = hints.insert(hints.end(), {*index, false, now});
    }
    hint->resident = feedback.adapter_resident;
    hint->reported_at = now;
}

template <placement_policy Policy>
void placement<Policy>::on_cache_event(
    prefix_cache_event const& event, instant now) {
    instant const when = now - event.age;
    if (event.stored) {
        prefixes_.on_stored(event.prefix_hash, event.endpoint, when);
    } else {
        prefixes_.on_dropped(event.prefix_hash, event.endpoint, when);
    }
}

template <placement_policy Policy>
void placement<Policy>::on_demand(adapter_ref const& adapter, instant now) {
    adapter_entry& entry = adapters_[adapter];
    entry.request_rate.add(now);
    entry.last_use = now;
    request_rate_.add(now);
    evict_idle_adapters(now);
}

template <placement_policy Policy>
void placement<Policy>::on_served(duration service_time) {
    service_time_ = move_average(service_time_, service_time);
    // Answer lengths vary widely, and the number of replicas in use must not
    // follow each long answer, so the mean covers many requests. The first
    // measurement replaces the configured time: if that were too short,
    // requests would queue on too few replicas after a start.
    constexpr double max_averaged_samples = 128;
    served_count_ = std::min(served_count_ + 1, max_averaged_samples);
    double const seconds = std::chrono::duration<double>(service_time).count();
    mean_service_seconds_ += (seconds - mean_service_seconds_) / served_count_;
}

template <placement_policy Policy>
void placement<Policy>::evict_idle_adapters(instant now) {
    constexpr std::chrono::minutes eviction_interval{5};
    constexpr std::chrono::minutes retention_time{30};
    if (now - last_eviction_at_ < eviction_interval) {
        return;
    }
    last_eviction_at_ = now;
    std::erase_if(adapters_, [&](auto const& each) {
        return now - each.second.last_use > retention_time;
    });
}

} // namespace camphorpoint
