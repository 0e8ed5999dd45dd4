#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"
#include "Core/outcome.hpp"
#include "Core/time.hpp"
#include "Serving/node_event.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint {

/// Where a request stands at its entry node.
enum class request_phase : std::uint8_t {
    /// The owner of its key's shard was asked for leave.
    awaiting_key,
    /// Nothing is under way: the next endpoint is being chosen. No event finds
    /// a request here.
    routing,
    /// A replica's owner was asked for a grant; nothing is on its way.
    awaiting_grant,
    /// An attempt was started: from here on bytes may have left.
    sent,
    /// The answer comes.
    streaming,
    /// The stream was cut and is about to be resumed.
    awaiting_resume,
    /// The endpoint ended; before it goes elsewhere the word of the nodes that
    /// count such ends is waited for.
    awaiting_quarantine,
    /// The caller has its final answer; the attempt's end is waited for, since
    /// until then the engine may still use the adapter.
    closing
};

/// Leave of a replica's owner to run there, as long as it is not given back.
struct active_grant {
    endpoint_id replica;
    std::uint32_t attempt = 0;
    std::uint64_t grant = 0;
};

/// One request at its entry node.
struct live_request {
    caller_request submitted;
    /// The profile as it stood at the offset below; later changes don't count.
    profile target_profile;
    /// The configuration that the request was admitted under.
    log_offset configuration;
    instant admitted;
    instant deadline;
    request_phase phase = request_phase::routing;
    /// Counts asks and attempts, so that a late reply or end is told apart.
    std::uint32_t attempt = 0;
    std::uint32_t grant_requests = 0;
    /// Where it is asked for or runs.
    endpoint_id endpoint;
    std::string address;
    instant grant_requested_at;
    /// Absent for a plain service, and for what runs without a grant.
    std::optional<active_grant> grant;
    /// True once an ended attempt may have run.
    bool may_have_run = false;
    /// Tokens that reached the caller, and that came from the engine.
    std::uint32_t tokens = 0;
    std::uint32_t received = 0;
    std::uint32_t resumes = 0;
    /// True when an attempt goes on with an earlier one's stream.
    bool resumed = false;
    /// The id that the engine knows the stream by.
    request_id engine_id;
    /// Endpoints that are not asked again.
    std::vector<endpoint_id> tried;
    /// Why the last replica said no, and when it said to come back.
    reason refusal = reason::none;
    std::chrono::milliseconds refusal_retry{};
    /// True when the caller has gone but the answer is kept for its key: the
    /// attempt under way is the last.
    bool detached = false;
    /// True when the caller's connection broke after tokens reached it, so that
    /// it may resume the stream through any node.
    bool resumable_by_caller = false;
    /// When the phase must be looked at again.
    instant timer_at;

    /// @returns true when a byte of it may have reached an endpoint
    bool may_have_reached_endpoint() const noexcept {
        return may_have_run || phase == request_phase::sent ||
               phase == request_phase::streaming ||
               phase == request_phase::awaiting_resume;
    }
    /// @returns true while an attempt is under way
    bool attempt_open() const noexcept {
        return phase == request_phase::sent ||
               phase == request_phase::streaming ||
               phase == request_phase::closing;
    }
    /// @returns what is left until the deadline; never below zero
    std::chrono::milliseconds time_left(instant now) const noexcept {
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - now);
        return std::max(left, std::chrono::milliseconds(0));
    }
};

} // namespace camphorpoint
