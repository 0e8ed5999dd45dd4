#pragma once

#include "Core/time.hpp"

namespace camphorpoint {

/// Answer to a node that asks for a permit to send one request to a replica
/// that has named a rate limit.
struct rate_permit {
    bool granted = false;
    /// When granted, the request is to be sent after this time; otherwise the
    /// time until the next permit.
    duration wait{0};
};

/// Times of the permits for one replica with a rate limit. One node, the
/// replica's controller, keeps it for all nodes: shares of the limit would be
/// less than one request for each of many nodes.
///
/// A permit is reserved ahead when its request can wait that long, so that the
/// queue is served in order and a request that can't be served in time learns
/// the true wait at once. In any period T at most `rate * T + burst` permits
/// fall due.
/// Reference: generic cell rate algorithm, ITU-T Recommendation I.371.
class rate_schedule {
public:
    /// A new schedule begins without a burst, since another node may have
    /// granted permits just before.
    /// @param per_second the rate that the replica has named
    rate_schedule(double per_second, instant now);

    /// Changes the rate. Reserved permits keep their times.
    void set_rate(double per_second, instant now);
    /// @param budget how long the request may wait
    rate_permit reserve(duration budget, instant now);

private:
    /// @returns the interval between two permits
    duration interval() const;

    double per_second_;
    /// When the replica will have caught up with all reserved permits.
    instant drained_at_;
};

} // namespace camphorpoint
