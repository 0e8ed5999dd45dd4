#pragma once

#include "Core/time.hpp"

#include <algorithm>
#include <chrono>

namespace camphorpoint {

/// Decides which requests a node may still send to a replica while it shuts
/// down, for the first time or again, and which answers may still begin. Guards
/// against a request that is sent or begun late in the shutdown and cut at its
/// end, although another node could have taken it or an earlier attempt was
/// still at work.
class shutdown_schedule {
public:
    /// Begins the shutdown.
    /// @param accepts for how long requests may be sent although they may take
    ///                longer than the shutdown
    /// @param lasts   when requests in progress are ended, from now
    void begin(instant now, duration accepts, duration lasts) {
        begun_ = true;
        began_at_ = now;
        ends_at_ = now + std::max(lasts, duration::zero());
        accepts_until_ = std::min(now + accepts, ends_at_);
    }
    /// @returns true when the shutdown has begun
    bool begun() const noexcept { return begun_; }
    /// @returns when the shutdown began
    instant began_at() const noexcept { return began_at_; }
    /// @returns until when requests may be sent that may outlast the shutdown
    instant accepts_until() const noexcept { return accepts_until_; }
    /// @returns when requests in progress are ended
    instant ends_at() const noexcept { return ends_at_; }
    /// @param deadline when the request ends at the latest
    /// @returns true when the request may be sent
    bool accepts(instant deadline, instant now) const noexcept {
        return !begun_ || now < accepts_until_ || deadline <= ends_at_;
    }
    /// @param deadline when the request ends at the latest
    /// @returns until when a request whose replica is silent is sent again in
    ///          time; the end of time when the shutdown leaves it its time
    instant resends_until(instant deadline) const noexcept {
        return !begun_ || deadline <= ends_at_ ? instant::max()
                                               : accepts_until_ - time_to_send;
    }
    /// @param deadline when the request ends at the latest
    /// @returns true when a stream may begin at a replica whose answer's head
    ///          has arrived now: one that stands still begins late what was
    ///          sent to it in time
    bool may_begin(instant deadline, instant now) const noexcept {
        return !begun_ || now < accepts_until_ + time_to_head ||
               deadline <= ends_at_;
    }

private:
    /// From a send to the head of its answer, at a replica that has room.
    static constexpr std::chrono::milliseconds time_to_head{400};
    /// For the choice of a replica, and for its controller's consent.
    static constexpr std::chrono::milliseconds time_to_send{100};

    bool begun_ = false;
    instant began_at_{};
    instant accepts_until_{};
    instant ends_at_{};
};

} // namespace camphorpoint
