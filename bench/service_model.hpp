#pragma once

#include "event_loop.hpp"

#include <cstdint>
#include <deque>
#include <functional>

namespace camphorpoint::bench {

/// A fake replica of a plain service: some calls at once, the rest in order.
class service_model {
public:
    using answer = std::function<void(duration queued)>;

    /// @param loop    virtual time; outlives the service
    /// @param workers calls that it serves at once
    service_model(event_loop& loop, std::uint32_t workers)
        : loop_(loop)
        , workers_(workers) {}

    /// @param time how long the call takes once it starts
    /// @param then told how long it waited, at its end
    void call(duration time, answer then) {
        waiting_.push_back({loop_.now(), time, std::move(then)});
        start_next();
    }

    /// @param workers calls at once, from now on
    void set_workers(std::uint32_t workers) {
        workers_ = workers;
        start_next();
    }

    /// @returns calls that run or wait
    std::uint32_t outstanding() const {
        return active_ + static_cast<std::uint32_t>(waiting_.size());
    }

private:
    struct item {
        instant came;
        duration time;
        answer then;
    };

    void start_next() {
        while (!waiting_.empty() && active_ < workers_) {
            item const next = std::move(waiting_.front());
            waiting_.pop_front();
            ++active_;
            duration const queued = loop_.now() - next.came;
            loop_.after(next.time, [this, then = next.then, queued] {
                --active_;
                then(queued);
                start_next();
            });
        }
    }

    event_loop& loop_;
    std::uint32_t workers_;
    std::uint32_t active_ = 0;
    std::deque<item> waiting_;
};

} // namespace camphorpoint::bench
