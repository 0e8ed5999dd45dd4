#include "Fleet/adapter_demand.hpp"

#include <algorithm>
#include <cmath>

namespace camphorpoint {

namespace {

/// Copies beyond an adapter's even share of the replicas. With this factor the
/// replicas of the busiest adapter are a third busy with it at the average, so
/// that a clump of its prompts finds another with room.
constexpr double replication_factor = 3;
/// With less than this an adapter's own prompts do not make a queue: a copy
/// costs a load and a slot.
constexpr double min_desired_replicas = 0.5;
/// So many standard deviations of a count are taken off before it is believed.
constexpr double sampling_margin = 0.8;
/// Rates below this in tokens a second are as good as none.
constexpr double min_rate = 1;
constexpr duration expiry_interval = std::chrono::seconds(10);

} // namespace

void adapter_demand::add(
    adapter_id const& adapter, unsigned prompt_tokens, instant now) {
    // A prompt of unknown length counts as a short one.
    double const tokens = std::max(1U, prompt_tokens);
    demand_rates& rates = rates_[adapter];
    rates.tokens.add(now, tokens);
    rates.requests.add(now);
    total_.add(now, tokens);
    if (now >= last_expiry_ + expiry_interval) {
        last_expiry_ = now;
        drop_idle(now);
    }
}

double adapter_demand::desired_replicas(
    adapter_id const& adapter, std::size_t replicas, instant now) const {
    auto const found = rates_.find(adapter);
    double const all = total_.per_second(now);
    if (found == rates_.end() || all < min_rate) {
        return 0;
    }
    // One node of many sees few requests, and two of one adapter by chance look
    // like a large share: copies are made for what is sure of it.
    std::chrono::duration<double> const window = half_life;
    double const sampled_requests =
        found->second.requests.per_second(now) * window.count() / std::log(2.0);
    double const confidence = std::max(
        0.0, 1.0 - sampling_margin /
                       std::sqrt(std::max(sampled_requests, min_rate)));
    double const fraction = found->second.tokens.per_second(now) / all;
    return fraction * confidence * static_cast<double>(replicas) *
           replication_factor;
}

std::size_t adapter_demand::target_replica_count(
    adapter_id const& adapter, std::size_t replicas, instant now) const {
    auto const rounded = static_cast<std::size_t>(
        std::lround(desired_replicas(adapter, replicas, now)));
    return std::clamp<std::size_t>(
        rounded, 1, std::max<std::size_t>(1, replicas));
}

bool adapter_demand::warrants_replication(
    adapter_id const& adapter, std::size_t replicas, instant now) const {
    return desired_replicas(adapter, replicas, now) >= min_desired_replicas;
}

void adapter_demand::drop_idle(instant now) {
    std::erase_if(rates_, [&](auto const& each) {
        return each.second.tokens.per_second(now) < min_rate;
    });
}

} // namespace camphorpoint
