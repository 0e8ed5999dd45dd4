#pragma once

#include "Core/time.hpp"
#include "Fleet/fleet.hpp"

namespace camphorpoint {

/// A request, as far as it concerns the choice of its replica.
struct request_work {
    /// Length of its prompt; 0 for a plain service.
    unsigned prompt_tokens = 0;
    /// The answer, or the first event of a stream, is on time within this.
    duration objective{0};
    /// Longest pause between two events of a stream that is on time; zero when
    /// the route names none.
    duration accepted_gap{0};
    /// Time until the request's deadline, at its arrival.
    duration patience{0};
    /// The request may be sent again after a failed attempt.
    bool repeatable = false;
};

/// Returns the time within which a replica is expected to begin a successful
/// answer. This is the only cost by which replicas are compared for a request.
/// @param mean_failures mean failure probability of the compared replicas
duration expected_answer_time(
    replica const& at, request_work const& work, double mean_failures,
    instant now);

} // namespace camphorpoint
