#pragma once

#include "Core/time.hpp"

namespace camphorpoint {

/// How an attempt at a replica ended, as far as the replica's health goes.
enum class health_signal : unsigned char {
    /// It answered as it should.
    answered,
    /// It answered that it failed. Some services do so now and then in health.
    failed,
    /// It broke an answer off. A replica that has ended does so with all of
    /// them, one that loses some answers with few.
    truncated,
    /// It could not be reached or fell silent.
    no_response
};

/// What one node has seen of one replica's health. Judges by use alone, since a
/// health check can be good while requests fail.
class replica_health {
public:
    /// Takes up how an attempt ended.
    /// @returns true when the replica has become suspected by this
    bool add_outcome(health_signal signal, instant now);
    /// Another node suspects the replica.
    void adopt_suspicion(instant until);

    /// @returns true while no request should go there unless all others are
    ///          out as well
    bool suspected(instant now) const noexcept {
        return now < suspected_until_;
    }
    /// @returns until when it is suspected
    instant suspected_until() const noexcept { return suspected_until_; }
    /// @returns the share of recent attempts that failed, 0 to 1; it fades with
    ///          time, so that a replica which nobody uses is tried again
    double failure_fraction(instant now) const;

private:
    double failures_ = 0;
    instant updated_at_;
    unsigned suspicions_ = 0;
    /// Broken off one after the other, with no answer between.
    unsigned truncated_in_row_ = 0;
    instant suspected_until_;
};

} // namespace camphorpoint
