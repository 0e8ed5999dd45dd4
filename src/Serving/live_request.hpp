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

/// State of a request at its entry node.
enum class request_phase : std::uint8_t {
    /// Waiting for permission from the owner of the shard of its key.
    awaiting_key,
    /// An endpoint is being chosen. This phase lasts only within the handling
    /// of one event.
    routing,
    /// Waiting for a grant from the replica's owner, or for the limits of a
    /// plain service. No bytes have been sent.
    awaiting_grant,
    /// An attempt was started. Bytes may have been sent from here on.
    sent,
    /// The answer is being received.
    streaming,
    /// The stream was truncated and will be resumed after a backoff.
    awaiting_resume,
    /// The endpoint crashed. Before a retry, the request waits for the nodes
    /// that count crashes to decide whether it is quarantined.
    awaiting_quarantine,
    /// The caller has its final answer. The request waits for the end of its
    /// attempt, since until then the engine may still use the adapter.
    closing
};

/// Permission of a replica's owner to run on the replica, until it is released
/// or returned.
struct active_grant {
    endpoint_id replica;
    std::uint32_t attempt = 0;
    std::uint64_t grant = 0;
};

/// A request at its entry node.
struct live_request {
    caller_request submitted;
    /// The profile in the configuration below. Later changes do not apply.
    profile target_profile;
    /// Offset of the configuration under which the request was admitted.
    log_offset configuration;
    instant admitted;
    instant deadline;
    request_phase phase = request_phase::routing;
    /// Number of the current grant request or attempt. Late replies and ends
    /// carry an older number and are recognized by it.
    std::uint32_t attempt = 0;
    std::uint32_t grant_requests = 0;
    /// The endpoint on which the request runs or waits to run.
    endpoint_id endpoint;
    std::string address;
    instant grant_requested_at;
    /// Absent for a plain service, and for attempts without a grant.
    std::optional<active_grant> grant;
    /// True once an attempt that has ended may have executed the request.
    bool may_have_run = false;
    /// Tokens that reached the caller, and tokens received from the engine.
    std::uint32_t tokens = 0;
    std::uint32_t received = 0;
    std::uint32_t resumes = 0;
    /// True when the attempt resumes the stream of an earlier one.
    bool resumed = false;
    /// The id under which the engine knows the stream.
    request_id engine_id;
    /// Endpoints that are excluded from routing.
    std::vector<endpoint_id> tried;
    /// Reason of the last refusal, and the longest retry delay of all refusals.
    reason refusal = reason::none;
    std::chrono::milliseconds refusal_retry{};
    /// True when the caller has disconnected but the answer is stored for its
    /// key. The current attempt is then the last.
    bool detached = false;
    /// True when the caller's connection broke after it had received tokens, so
    /// that it may resume the stream through any node.
    bool resumable_by_caller = false;
    /// When the current phase times out.
    instant timer_at;

    /// @returns true when any byte of the request may have reached an endpoint
    bool may_have_reached_endpoint() const noexcept {
        return may_have_run || phase == request_phase::sent ||
               phase == request_phase::streaming ||
               phase == request_phase::awaiting_resume;
    }
    /// @returns true while an attempt is open
    bool attempt_open() const noexcept {
        return phase == request_phase::sent ||
               phase == request_phase::streaming ||
               phase == request_phase::closing;
    }
    /// @returns the time left until the deadline, at least zero
    std::chrono::milliseconds time_left(instant now) const noexcept {
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - now);
        return std::max(left, std::chrono::milliseconds(0));
    }
};

} // namespace camphorpoint
