#pragma once

#include "Core/time.hpp"
#include "Fleet/replica_health.hpp"

namespace camphorpoint {

/// What a node tells the controller of a replica about an attempt that has
/// ended there.
struct attempt_report {
    health_signal signal = health_signal::answered;
    /// Length of the request's prompt; 0 for a plain service.
    unsigned prompt_tokens = 0;
    /// From the send to the first output, or to the whole answer of a plain
    /// service; zero when there was none.
    duration first_output{0};
    /// Mean time between two events of the answer; zero with fewer than two.
    duration event_interval{0};
    /// The controller had permitted the attempt at an avoided replica.
    bool probe = false;
};

/// What the controller of a replica has learnt about it from the attempts of
/// all nodes. A single node sees too few attempts: with 84 nodes three in half
/// a minute.
struct replica_condition {
    /// Probability that the next attempt fails, 0 to 1.
    double failure_probability = 0;
    /// Time between two events of a stream there, while the batch is half full;
    /// zero when it is not known.
    duration event_interval{0};
    /// Time by which one more prompt token delays the first output there; zero
    /// when it is not known.
    duration token_time{0};
    /// How much longer than usual work took on its machine when the replica
    /// last said so; 1 when no statement holds.
    double slowdown = 1;
    /// Time since that statement.
    duration slowdown_age{0};
    /// Requests should be sent elsewhere.
    bool avoided = false;
    /// Probes have shown lately that it has recovered.
    bool readmitted = false;
    /// The receiver may send one request to the avoided replica. Set only in
    /// the answer to a usage query.
    bool probe_permitted = false;
};

} // namespace camphorpoint
