#pragma once

#include "Core/time.hpp"

#include <cassert>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace camphorpoint::bench {

/// Virtual time: runs events in the order of their times, those of one time
/// in the order in which they were asked for, so that a run repeats exactly.
class event_loop {
public:
    using action = std::function<void()>;

    /// @returns the virtual time
    instant now() const noexcept { return now_; }

    /// @param when not before now()
    /// @param what runs once at that time
    void at(instant when, action what) {
        assert(when >= now_ && "an event lies in the past");
        events_.push({when, next_number_++, std::move(what)});
    }

    /// @param span how much later than now
    /// @param what runs once at that time
    void after(duration span, action what) { at(now_ + span, std::move(what)); }

    /// Runs all events up to and including a time.
    /// @param end where virtual time stands afterwards
    void run_until(instant end) {
        while (!events_.empty() && events_.top().when <= end) {
            event next = std::move(const_cast<event&>(events_.top()));
            events_.pop();
            now_ = next.when;
            next.what();
        }
        now_ = end;
    }

private:
    struct event {
        instant when;
        std::uint64_t number;
        action what;
    };
    struct later {
        bool operator()(event const& left, event const& right) const {
            if (left.when != right.when) {
                return left.when > right.when;
            }
            return left.number > right.number;
        }
    };

    std::priority_queue<event, std::vector<event>, later> events_;
    instant now_{};
    std::uint64_t next_number_ = 0;
};

} // namespace camphorpoint::bench
