#pragma once

#include "Core/time.hpp"

namespace camphorpoint {

/// Outcome of an attempt at a replica, as far as it concerns the replica's
/// health.
enum class health_signal : unsigned char {
    /// The replica answered correctly.
    answered,
    /// The replica answered with an error. Some services do so now and then
    /// while they are healthy.
    failed,
    /// The replica broke off an answer. A crashed replica truncates all of its
    /// answers, a lossy one only a few.
    truncated,
    /// The replica was unreachable, or no data was received in time.
    no_response,
    /// The replica rejected the request for want of room, or did not answer
    /// before the deadline.
    rejected
};

/// Health of one replica as seen by one node. Only the outcomes of attempts
/// count, since a health check can succeed while requests fail.
class replica_health {
public:
    /// Records the outcome of an attempt.
    /// @returns true when this outcome has made the replica suspected
    bool add_outcome(health_signal signal, instant now);
    /// Adopts another node's suspicion of the replica.
    void adopt_suspicion(instant until);
    /// Ends a suspicion that was not due to the replica.
    void clear_suspicion();

    /// @returns true while no request should be sent there unless all other
    ///          replicas are unavailable as well
    bool suspected(instant now) const noexcept {
        return now < suspected_until_;
    }
    /// @returns the time until which the replica is suspected
    instant suspected_until() const noexcept { return suspected_until_; }
    /// @returns the fraction of recent attempts that failed, 0 to 1. It decays
    ///          over time, so that a replica that no node uses is tried again.
    double failure_fraction(instant now) const;

private:
    double failures_ = 0;
    instant updated_at_;
    unsigned suspicions_ = 0;
    /// Truncated answers in a row, with no complete answer between them.
    unsigned truncated_in_row_ = 0;
    instant suspected_until_;
};

} // namespace camphorpoint
