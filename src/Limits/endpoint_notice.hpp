#pragma once

#include "Core/time.hpp"

#include <algorithm>

namespace camphorpoint {

/// What an endpoint's answer says of its next requests.
struct endpoint_notice {
    /// It wants no requests of this node for so long.
    duration rest{0};
    /// It shuts down and wants none at all.
    bool leaving = false;
};

/// Whether requests may be sent to an endpoint, by the notices in its answers.
class endpoint_availability {
public:
    /// Applies the notice of an answer. A shorter rest does not end a longer
    /// one, and an announced shutdown is never withdrawn.
    void apply(endpoint_notice const& notice, instant now) {
        resting_until_ = std::max(resting_until_, now + notice.rest);
        leaving_ = leaving_ || notice.leaving;
    }
    /// @returns true when requests may be sent
    bool accepts_requests(instant now) const noexcept {
        return !leaving_ && now >= resting_until_;
    }
    /// @returns the time until its rest ends
    duration rest_remaining(instant now) const noexcept {
        return std::max(resting_until_ - now, duration::zero());
    }
    /// @returns true when it has announced its shutdown
    bool leaving() const noexcept { return leaving_; }

private:
    instant resting_until_;
    bool leaving_ = false;
};

} // namespace camphorpoint
