#pragma once

#include "Core/ids.hpp"
#include "Core/software_key.hpp"
#include "Core/time.hpp"
#include "Delivery/answer_timing.hpp"
#include "Delivery/attempt_stream.hpp"
#include "Delivery/attempt_tracker.hpp"
#include "Ports/http_client.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstdint>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// Result of one attempt.
enum class attempt_outcome : std::uint8_t {
    /// The caller has received its complete answer, or has disconnected.
    finished,
    /// The replica, or another one at its address, reported that it did not
    /// execute the request.
    refused,
    /// No byte of the request was sent.
    unreached,
    /// The replica executed the request and reported a failure, or sent an
    /// invalid answer.
    failed,
    /// The replica sent nothing until the attempt was ended.
    silent,
    /// The connection failed before the answer was complete.
    broken,
    /// The answer has no length and ended with its connection. Whether the
    /// stream is complete is known only when another attempt has nothing to
    /// add.
    unproven,
    /// The deadline passed during the attempt.
    late,
    /// The replica is silent for longer than usual. The attempt goes on.
    stalled,
    /// Another attempt of the same request went on instead.
    superseded,
    /// The node has ended the attempt, since it shuts down.
    ended
};

/// Details of one attempt, for the log.
struct attempt_trace {
    /// Status of the answer, 0 for none.
    int status = 0;
    /// The answer states that the request has not run.
    bool states_not_run = false;
    /// How the body of the answer ended.
    std::string_view body = "none";
    /// Set when the connection ended before the answer was complete.
    bool broke_off = false;
    /// Set when the replica has written an event, or a whole answer.
    bool has_output = false;
    /// The replica has rejected the request for want of capacity.
    bool rejected = false;
    /// From the beginning of the attempt until the head of its answer.
    std::optional<duration> head_after;
    /// How long the replica wants no requests of this node.
    duration rest{0};
    /// Longest wait for data of the answer's body.
    duration silence{0};
};

/// One attempt of a request at a replica or a peer, and what was received of
/// it. A stalled stream is forwarded while another replica is sought, so no
/// attempt shares this state with another one.
struct forwarded_attempt {
    /// @param executor where the call runs
    /// @param pool     where its connection comes from; must outlive the
    ///                 attempt
    forwarded_attempt(
        boost::asio::any_io_executor const& executor, http_pool& pool,
        instant now)
        : call(std::make_shared<http_call>(executor, &pool))
        , began_at(now)
        , timing(now)
        , changed(executor) {}

    /// @returns true when a peer makes the attempt on behalf of this node
    bool relayed() const { return replica.empty(); }
    /// @returns true when the head of the answer has arrived
    bool begun() const { return trace.head_after.has_value(); }
    /// Records that the head of the answer has arrived.
    void note_head(int status, instant now) {
        trace.status = status;
        trace.head_after = now - began_at;
        waiting_since.reset();
        end_stall();
    }
    void begin_wait(instant now) { waiting_since = now; }
    /// @param received false when the wait ended without data
    void end_wait(bool received, instant now) {
        trace.silence = std::max(trace.silence, now - *waiting_since);
        waiting_since.reset();
        if (received) {
            end_stall();
        }
    }
    /// Cancels the attempt, since another one of the request goes on instead.
    void supersede() {
        superseded = true;
        call->cancel();
    }
    /// Records how the attempt has ended.
    void set_end(attempt_outcome outcome) {
        end = outcome;
        changed.cancel();
    }
    /// @returns true when the attempt has gone on after its stall, or has ended
    bool stall_over() const { return end.has_value() || !stalled; }

    /// Empty when a peer makes the attempt.
    endpoint_id replica;
    /// Address of the peer that makes the attempt; empty for none.
    std::string peer;
    std::shared_ptr<http_call> call;
    /// Names the attempt in the request's tracker.
    attempt_tracker::attempt_number number = 0;
    /// Numbers the attempts of this node; a peer's attempt has none.
    std::uint64_t serial = 0;
    instant began_at;
    answer_timing timing;
    /// Software version that writes the answer, where it is known.
    std::optional<software_key> software;
    /// Number of the last event that the caller had when the attempt was sent,
    /// if any: its run goes on after that event.
    std::optional<std::uint64_t> after_event;
    attempt_stream stream;
    attempt_trace trace;
    /// The complete answer was received.
    bool completed = false;
    /// The replica is avoided, and its controller has permitted the attempt.
    bool probe = false;
    /// Set while the head of the answer, or data of its body, are awaited.
    std::optional<instant> waiting_since;
    bool stalled = false;
    /// The latest stall shows that the replica is silent, not only slow with
    /// this request.
    bool shows_silence = false;
    bool superseded = false;
    /// Set when the stream is no longer forwarded.
    std::optional<attempt_outcome> end;
    /// What has ended the forwarding, if it is an exception.
    std::exception_ptr failure;
    /// Cancelled when the attempt goes on after a stall, or ends.
    boost::asio::steady_timer changed;

private:
    void end_stall() {
        if (stalled) {
            stalled = false;
            changed.cancel();
        }
    }
};

} // namespace camphorpoint
