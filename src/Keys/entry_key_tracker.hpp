#pragma once

#include "Keys/clock_reading.hpp"
#include "Keys/key_action.hpp"
#include "Keys/key_settings.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorpoint {

/// A request that carries an idempotency key.
struct keyed_request {
    request_id id;
    idempotency_key key;
    std::uint64_t body_digest = 0;
    bool idempotent = false;
    instant deadline;
};

/// Tracks the requests with idempotency keys on an entry node. It requests
/// permission from the owner of the key's shard before a request is started,
/// repeats the permission request until it is answered, reports running keys to
/// their owners, and reports how each request completed. Its counterpart on the
/// owner is key_owner.
class entry_key_tracker {
public:
    explicit entry_key_tracker(entry_key_settings settings)
        : settings_(settings) {}

    /// Updates the owner of a shard.
    /// @param shard the shard whose owner may have changed
    /// @param owner the present owner; an empty id when none is known
    void on_owner_changed(key_shard shard, node_id const& owner);
    /// Requests permission to execute a request. A key_decision follows among
    /// the actions, unless the request is withdrawn first.
    /// @param request the request with its key
    /// @param clock   this node's clocks, read for this event
    void request_permission(
        keyed_request const& request, clock_reading const& clock);
    /// Handles an owner's reply to a permission request.
    void on_reply(key_reply const& reply, clock_reading const& clock);
    /// Handles an owner's acknowledgement of a completion.
    void on_completion_ack(key_completion_ack const& ack);
    /// Reports the completion of a request that had the verdict `run`.
    /// @param id     the request
    /// @param how    its outcome; not_run only while no byte can have reached
    ///        an endpoint
    /// @param why    the reason for the outcome
    /// @param answer the answer of the endpoint
    /// @param clock  this node's clocks, read for this event
    void complete(
        request_id const& id, outcome how, reason why, std::string answer,
        clock_reading const& clock);
    /// Withdraws a request whose caller has disconnected, or whose deadline has
    /// passed, before its verdict. The request will not be executed, whichever
    /// reply still arrives.
    void withdraw(request_id const& id, clock_reading const& clock);
    /// Repeats unanswered messages, ends expired waits, and sends the periodic
    /// heartbeats. Called periodically.
    void tick(clock_reading const& clock);

    /// @returns the queued actions, in order; empties the queue
    std::vector<key_action> take_actions();
    /// @returns the number of requests that await a verdict or are running
    std::size_t open() const noexcept { return open_.size(); }
    /// @returns the number of completed requests that are still kept
    std::size_t completed_count() const noexcept { return completed_.size(); }

private:
    enum class phase : std::uint8_t { requesting, waiting, running };
    struct open_request {
        keyed_request request;
        key_shard shard = 0;
        phase current_phase = phase::requesting;
        instant wait_until;
        instant next_request_at;
        std::uint64_t permission = 0;
        log_offset fencing;
    };
    struct completed_request {
        key_completion completion;
        instant next_send;
        instant forget_at;
        /// True when the request was never started on this node, and never will
        /// be.
        bool withdrawn = false;
    };
    /// Whether a completion is reported to the owner.
    enum class notify : std::uint8_t { no, until_acknowledged };

    void
    send_permission_request(open_request& each, clock_reading const& clock);
    void send_completion(completed_request& each, instant now);
    void decide(
        open_request const& each, key_verdict verdict, reason why,
        std::string answer = {});
    void start(open_request& each);
    bool time_out(open_request& each, clock_reading const& clock);
    bool handle_reply(
        open_request& each, key_reply const& reply, clock_reading const& clock);
    bool handle_permission(
        open_request& each, key_reply const& reply, clock_reading const& clock);
    void handle_late_permission(key_reply const& reply, instant now);
    void keep_completion(
        open_request const& each, key_completion completion, bool withdrawn,
        notify owner, instant now);
    bool tick_open(open_request& each, clock_reading const& clock);
    void tick_completed(instant now);
    void send_heartbeats();

    entry_key_settings settings_;
    std::array<node_id, key_shard_count> owners_;
    std::map<request_id, open_request> open_;
    std::map<request_id, completed_request> completed_;
    /// Completed requests, the oldest first.
    std::deque<request_id> completed_order_;
    /// Completed requests whose completion the owner has not acknowledged.
    std::set<request_id> unacknowledged_;
    instant next_heartbeat_;
    std::vector<key_action> actions_;
};

} // namespace camphorpoint
