#pragma once

#include "test/soak/deployment.hpp"
#include "test/soak/ledger.hpp"
#include "test/soak/lost_requests.hpp"

#include <cstddef>
#include <vector>

namespace camphorpoint::soak {

/// Streams whose connection their node has closed early.
struct ended_streams {
    /// How many there are.
    std::size_t early = 0;
    /// Those whose replica went on.
    std::vector<violation> found;
};

/// Finds streams whose answer had begun and whose connection was closed before
/// the answer was whole, before the time-out of the route and the deadline,
/// although the replica went on: the run that wrote the last event that the
/// caller has read did not break off, and its process was not killed. Where the
/// caller has read no event, this holds for all runs of the request. The break
/// of a run excuses an end within a second, and a later one when no run behind
/// that event went on. Not counted are streams that had gone over to a run
/// behind that event whose replica was killed right before the end, streams
/// whose node, or whose node's link, was killed meanwhile, and those sent in
/// the first 3 s of a stop, by their callers and by the node, on which the
/// replica was still at work in the last sixth of its limit.
/// With links that cut connections nothing is judged: such a cut is known to
/// nobody but the link.
ended_streams find_ended_streams(
    run_records const& records, std::vector<sent_request> const& requests,
    end_records const& ends, soak_settings const& settings);

} // namespace camphorpoint::soak
