#pragma once

#include "Core/time.hpp"

#include <chrono>
#include <cstdint>

namespace camphorpoint {

/// A plain service whose replicas answer, and some of which fail every request
/// at once for a while. Nodes ask the controllers of the replicas, send, and
/// report the end of each attempt.
struct outcome_scenario {
    unsigned nodes = 84;
    unsigned replicas = 4;
    /// The first ones fail.
    unsigned failing = 1;
    unsigned slots = 8;
    /// Fraction of all slots that is used.
    double load = 0.4;
    /// Attempts of a request.
    unsigned attempts = 3;
    /// Time of an answer.
    duration answer_time = std::chrono::milliseconds(200);
    duration failure_time = std::chrono::milliseconds(3);
    /// Transfer of a message between two nodes.
    duration one_way = std::chrono::milliseconds(1);
    /// Reports with counts and outcomes that are lost.
    double lost_reports = 0;
    /// The nodes are told what the controllers have learnt.
    bool shared = true;
    /// The controller of the first replica dies three seconds after that begins
    /// to fail. Another one is found after a second and a half.
    bool controller_dies = false;
    duration fails_at = std::chrono::seconds(3);
    duration recovers_at = std::chrono::seconds(10);
    duration length = std::chrono::seconds(17);
};

struct outcome_result {
    /// Failed attempts until all nodes can know that the first replica is
    /// avoided: 50 ms after its controller has decided.
    unsigned failed_before_avoided = 0;
    /// Later ones at the first replica, each second until it recovers. The
    /// first is left out: it may come at the beginning of that time.
    double failed_per_second_after = 0;
    /// All failed attempts.
    unsigned failed = 0;
    double failing_seconds = 0;
    /// Fraction of the requests that were answered.
    double answered = 0;
    /// Attempts at the failing replicas as a part of their share, from three
    /// seconds after their recovery on.
    double recovered_share = 0;
};

outcome_result
simulate_outcomes(outcome_scenario const& scenario, std::uint64_t seed);

} // namespace camphorpoint
