#include "Fleet/adapter_demand.hpp"

#include <algorithm>
#include <cmath>

namespace camphorpoint {

namespace {

/// Copies beyond an adapter's even share of the replicas. With this factor the
/// replicas of the busiest adapter are a third busy with it at the average, so
/// that a clump of its prompts finds another with room.
constexpr double spread = 3;
/// Rates below this in tokens a second are as good as none.
constexpr double least_rate = 1;
constexpr duration forgetting_pause = std::chrono::seconds(10);

} // namespace

void adapter_demand::add(
    adapter_id const& adapter, unsigned prompt_tokens, instant now) {
    // A prompt of unknown length counts as a short one.
    double const tokens = std::max(1U, prompt_tokens);
    rates_.try_emplace(adapter, half_life).first->second.add(now, tokens);
    total_.add(now, tokens);
    if (now >= looked_ + forgetting_pause) {
        looked_ = now;
        forget_idle(now);
    }
}

std::size_t adapter_demand::copies(
    adapter_id const& adapter, std::size_t replicas, instant now) const {
    auto const found = rates_.find(adapter);
    double const all = total_.per_second(now);
    if (found == rates_.end() || all < least_rate) {
        return 1;
    }
    double const share = found->second.per_second(now) / all;
    double const wanted = share * static_cast<double>(replicas) * spread;
    auto const rounded = static_cast<std::size_t>(std::lround(wanted));
    return std::clamp<std::size_t>(
        rounded, 1, std::max<std::size_t>(1, replicas));
}

void adapter_demand::forget_idle(instant now) {
    std::erase_if(rates_, [&](auto const& each) {
        return each.second.per_second(now) < least_rate;
    });
}

} // namespace camphorpoint
