#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <compare>
#include <optional>
#include <set>

namespace camphorpoint {

/// One timer per request, ordered by time.
class request_timers {
public:
    /// Replaces the timer of a request.
    void set(request_id const& id, instant earlier, instant when) {
        timers_.erase({earlier, id});
        timers_.insert({when, id});
    }
    /// Removes the timer of a request.
    void remove(request_id const& id, instant when) {
        timers_.erase({when, id});
    }
    /// Removes and returns the first request whose timer has expired.
    std::optional<request_id> pop_due(instant now) {
        if (timers_.empty() || timers_.begin()->when > now) {
            return std::nullopt;
        }
        request_id due = timers_.begin()->id;
        timers_.erase(timers_.begin());
        return due;
    }

private:
    struct timer {
        instant when;
        request_id id;
        friend auto operator<=>(timer const&, timer const&) = default;
    };
    std::set<timer> timers_;
};

} // namespace camphorpoint
