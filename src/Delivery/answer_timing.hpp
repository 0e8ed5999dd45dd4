#pragma once

#include "Core/time.hpp"

namespace camphorpoint {

/// When the events of one attempt's answer were received.
class answer_timing {
public:
    /// @param sent_at when the attempt began
    explicit answer_timing(instant sent_at)
        : sent_at_(sent_at) {}

    /// Records events that were received together.
    /// @param count number of the events; a whole answer counts as one
    void add(unsigned count, instant now) {
        first_at_ = events_ == 0 ? now : first_at_;
        first_events_ = events_ == 0 ? count : first_events_;
        events_ += count;
        last_at_ = now;
    }
    /// @returns time from the send to the first event; zero without one
    duration first_output() const {
        return events_ == 0 ? duration::zero() : first_at_ - sent_at_;
    }
    /// @returns mean time between two events; zero while no event was received
    ///          after the first ones
    duration event_interval() const {
        unsigned const later = events_ - first_events_;
        return later == 0 ? duration::zero() : (last_at_ - first_at_) / later;
    }

private:
    instant sent_at_;
    instant first_at_;
    instant last_at_;
    unsigned events_ = 0;
    /// Events that were received together with the first one.
    unsigned first_events_ = 0;
};

} // namespace camphorpoint
