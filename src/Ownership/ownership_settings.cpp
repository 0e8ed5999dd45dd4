#include "Ownership/ownership_settings.hpp"

namespace camphorpoint {

namespace {

constexpr std::int64_t million = 1'000'000;

/// Returns the longest time that a span measured by another node's clock can
/// take on the local clock.
duration with_clock_error(duration span, std::uint32_t rate_error) noexcept {
    return span + span * rate_error / million;
}

} // namespace

// The old holder's last read that did not show the claim began at most read_lag
// after the append. The old holder's authority ends one lease later on its own
// clock, and the last command that it sent can be in transit for
// command_transit more.
duration ownership_settings::claim_wait() const noexcept {
    return with_clock_error(lease, clock_rate_error) + command_transit +
           read_lag;
}

duration ownership_settings::evict_wait() const noexcept {
    if (engines_refuse_busy_evictions) {
        return claim_wait();
    }
    return with_clock_error(grant_lease, clock_rate_error) + command_transit +
           read_lag;
}

} // namespace camphorpoint
