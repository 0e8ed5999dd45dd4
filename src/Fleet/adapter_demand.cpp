#include "Fleet/adapter_demand.hpp"

#include <algorithm>
#include <cmath>

namespace camphorpoint {

namespace {

/// Factor by which an adapter gets more replicas than its fraction of the
/// demand alone would give it. With this factor the replicas of the busiest
/// adapter spend a third of their time on it on average, so that a burst of its
/// prompts finds another replica with spare capacity.
constexpr double replication_factor = 3;
/// Below this value an adapter's own prompts do not queue, and a further
/// replica would cost a load and a slot for nothing.
constexpr double min_desired_replicas = 0.5;
/// Number of standard deviations that are subtracted from a request count
/// before the count is used.
constexpr double sampling_margin = 0.8;
/// In tokens per second. Lower rates are treated as zero.
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
    // One node of many sees only few requests. Two requests for one adapter
    // that arrive together by chance look like a large fraction of the demand,
    // so only the statistically certain part of the fraction counts.
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
