#pragma once

#include <chrono>
#include <cstddef>

namespace camphorpoint {

/// Times and limits of membership.
struct membership_settings {
    /// How often neighbours and one random node are probed.
    std::chrono::milliseconds period{1'000};
    /// How many neighbours in the order of names are probed each period.
    std::size_t neighbours = 2;
    /// How long a direct probe waits before others are asked to probe.
    std::chrono::milliseconds ack_limit{300};
    /// How many others are asked.
    std::size_t helpers = 3;
    /// How long a suspected node has to refute.
    std::chrono::milliseconds suspicion{3'000};
    /// How long a report is believed against the platform's late list.
    std::chrono::milliseconds hold{60'000};
    /// How many updates a probe carries.
    std::size_t updates_per_probe = 6;
    /// Failed direct calls in a row after which an endpoint is suspect here.
    std::size_t endpoint_failures = 3;
    /// How long a suspect endpoint is avoided before it is tried again.
    std::chrono::milliseconds endpoint_retry{5'000};
};

} // namespace camphorpoint
