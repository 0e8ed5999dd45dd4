#pragma once

#include "Delivery/attempt_tracker.hpp"
#include "Delivery/delivery_position.hpp"
#include "Delivery/joined_events.hpp"
#include "Delivery/replacement_rules.hpp"
#include "Delivery/request_fingerprint.hpp"
#include "Gateway/forwarded_attempt.hpp"
#include "Gateway/gateway_state.hpp"
#include "Gateway/peer_messenger.hpp"
#include "Gateway/relay_terms.hpp"
#include "Ports/http_client.hpp"
#include "Ports/http_server.hpp"
#include "platform/request_wire.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// Minimum time that a replica needs for any answer. No attempt is sent when
/// less than this remains before the request's deadline.
inline constexpr std::chrono::milliseconds min_attempt_time{20};

/// Handles one request: selects a replica, forwards the request to it, passes
/// the answer back to the caller, and retries at other replicas where that is
/// safe. A node that reaches no replica relays the request to a peer, whose
/// handler does the same on its behalf.
class request_handler {
public:
    /// @param state     the node's view of the cluster; must outlive the
    ///                  handler
    /// @param messenger sends load requests and crash reports to the other
    ///                  nodes; must outlive the handler
    /// @param exchange  the caller's request; must outlive the handler
    /// @param relayed   set when another node has relayed the request
    request_handler(
        gateway_state& state, peer_messenger& messenger,
        http_exchange& exchange,
        std::optional<relay_terms> relayed = std::nullopt);
    ~request_handler();
    request_handler(request_handler const&) = delete;
    request_handler& operator=(request_handler const&) = delete;

    /// Processes the request until the caller has its answer or has
    /// disconnected.
    boost::asio::awaitable<void> run();

private:
    using attempt_ref = std::shared_ptr<forwarded_attempt>;

    /// What follows an attempt, or a search for a replica.
    enum class next_step : std::uint8_t {
        /// Look for a replica, or a peer.
        search,
        /// The caller has its answer.
        complete,
        /// No further attempt is possible now; `reason_` says why.
        give_up
    };

    /// Checks that the request can be handled here.
    /// @returns false when it is refused
    bool admit();
    bool resolve_route();
    /// Finds the team of the caller's API key.
    /// @returns false when the request is denied
    bool authenticate();
    /// Takes the request's units from its team's usage cap.
    /// @returns false when the request is refused
    boost::asio::awaitable<bool> take_usage();
    /// Returns the units of a request that has not run.
    void return_unused_usage();
    /// Records the request in the statistics of demand, and the credit that it
    /// earns for resends, once.
    void record_demand();
    /// @returns true when the node shuts down and has ended the request, or may
    ///          not send it, for the first time or again
    bool barred_by_shutdown(instant now) const;
    /// Where the node shuts down and may not send the request, sets the reason
    /// and the time of its refusal.
    /// @returns true when it may not
    bool refuse_in_shutdown();
    bool refuse_in_shutdown(bool refused);
    /// The same where the node shuts down and the only replica for a stream is
    /// silent: it would begin the stream late, and the shutdown cut it.
    /// @param at the replica that was selected, null for none
    bool refuse_silent_replica(replica const* at);
    /// Waits, unless the caller disconnects or the shutdown ends the request
    /// before.
    boost::asio::awaitable<void> pause_until(instant until);
    /// @param refused true when this node would refuse the request
    /// @returns the peer to which the request should be relayed now; nothing
    ///          when this node should handle it itself
    std::optional<std::string> select_relay(bool refused, instant now);
    relay_terms make_relay_terms() const;
    boost::asio::awaitable<next_step> relay(std::string peer);
    boost::asio::awaitable<next_step> pass_relayed_answer(attempt_ref attempt);
    next_step
    finish_relay(forwarded_attempt const& attempt, attempt_outcome end);
    /// @returns the urgency of the request, 0 for the most urgent
    unsigned priority() const;
    bool refuse_quarantined();
    /// @returns true when the request may not run because of a part of its
    ///          prompt
    bool refuse_quarantined_part(request_fingerprint key, instant now);
    /// Reports a crash or a success of the request to the nodes that count
    /// crashes by request fingerprint.
    /// @returns true when other nodes count the crashes and may be about to
    ///          quarantine the request
    bool report_outcome(forwarded_attempt const& attempt, attempt_outcome end);
    boost::asio::awaitable<void> await_crash_reports();
    boost::asio::awaitable<bool> enter_gate(endpoint_id at);
    /// Waits for a permit when the replica limits the rate of its requests.
    /// @returns false when the request must look for another replica
    boost::asio::awaitable<bool> acquire_permit(endpoint_id at);
    /// Takes a slot of a brittle replica for the request.
    /// @returns false when the request must look for another replica
    boost::asio::awaitable<bool> claim_slot(endpoint_id at);
    /// Records that a replica's controller has granted no slot. After several
    /// denials in a row the request waits until one should be free.
    boost::asio::awaitable<void>
    note_slot_denial(endpoint_id at, duration wait);
    /// @returns true when the request waits for the end of a replica's rest, or
    ///          for a slot of a brittle replica
    bool awaits_replica(instant now) const;
    /// @returns a random time of at most the given one
    duration spread(duration longest);
    /// @returns how long the request may wait for a permit
    duration permit_budget(instant now) const;
    /// Sets the reason of a refusal because of the rate limits of all replicas.
    /// @returns true when there is such a reason
    bool refuse_limited(instant now);
    /// Applies what an answer says about its replica: its shutdown, its rate
    /// limit, and the rejections that it bears.
    void note_limits(
        forwarded_attempt& attempt, platform::answer_kind kind,
        http_fields const& answer);
    /// Applies what an answer says about its replica's load.
    void note_load(endpoint_id const& at, http_fields const& answer);
    /// Applies the rest for which an answer asks.
    void note_rest(
        forwarded_attempt& attempt, int status, http_fields const& answer);
    /// @returns true when the current attempt may be sent: what was known of
    ///          the replica when it was selected may have changed since
    bool may_send(endpoint_id const& at, instant now) const;
    void report_first_output();
    /// Reports the first output of an attempt of this node.
    void note_output(forwarded_attempt& attempt);
    void leave_gate(attempt_outcome end);
    /// Finds the software version at which a stream that the caller resumes
    /// must go on.
    /// @returns false when the resumption is refused
    boost::asio::awaitable<bool> resolve_stream_origin();
    /// Binds the stream to the software version of an attempt, before events of
    /// it are forwarded.
    void note_stream_event(forwarded_attempt const& attempt);
    /// @returns the reason of a refusal for want of any usable replica
    std::string_view no_replica_reason();
    boost::asio::awaitable<void> handle();
    boost::asio::awaitable<void> run_attempts();
    /// Looks for a replica or a peer, and makes one attempt there.
    boost::asio::awaitable<next_step> try_once();
    /// Waits for the permissions that a send to the replica needs.
    /// @returns false when the request must look for another replica
    boost::asio::awaitable<bool> clear_to_send(endpoint_id at);
    boost::asio::awaitable<replica*> find_replica();
    boost::asio::awaitable<void> refresh_utilization();
    /// @returns true when the request loses little by trying an avoided replica
    bool may_probe() const;
    std::optional<replica*> select_plain_replica(instant now);
    bool awaits_registry_entries(instant now) const;
    std::optional<replica*> select_adapter_replica(instant now);
    replica* select_preferred_replica(instant now);
    /// @returns a suspected replica that has the adapter and capacity, when no
    ///          other one that has it can be used; null when there is none
    replica* select_suspected_replica(instant now);
    bool should_delay(replica const& at, instant now) const;
    bool load_already_rejected(instant now) const;
    void request_additional_load(replica const& best, instant now);
    void request_load_at(replica* preferred, bool urgent);
    duration wait_budget(instant now) const;
    duration objective_fraction(double part) const;
    attempt_ref begin_attempt(replica& at);
    boost::asio::awaitable<attempt_outcome>
    send_attempt(attempt_ref attempt, ip_address to);
    boost::asio::awaitable<attempt_outcome> read_answer(attempt_ref attempt);
    boost::asio::awaitable<attempt_outcome>
    forward_answer(attempt_ref attempt, platform::answer_kind kind);
    boost::asio::awaitable<attempt_outcome> forward_stream(attempt_ref attempt);
    boost::asio::awaitable<bool>
    forward_events(attempt_ref attempt, joined_events events);
    boost::asio::awaitable<attempt_outcome>
    finish_stream_attempt(attempt_ref attempt, bool read_to_end);
    boost::asio::awaitable<attempt_outcome>
    forward_buffered(attempt_ref attempt);
    void note_completed(forwarded_attempt& attempt);
    /// Makes an attempt until it ends or stalls. A stalled attempt goes on.
    boost::asio::awaitable<attempt_outcome>
    make_attempt(attempt_ref attempt, ip_address to);
    boost::asio::awaitable<void> carry_out(attempt_ref attempt, ip_address to);
    attempt_progress progress_of(forwarded_attempt const& attempt) const;
    request_bounds bounds() const;
    /// @returns when the attempt stalls unless something is received before;
    ///          nothing while it can't stall
    std::optional<instant> stall_time(forwarded_attempt const& attempt) const;
    /// @returns how the attempt has ended, or that it has stalled
    boost::asio::awaitable<attempt_outcome> await_end(attempt_ref attempt);
    /// Waits while the stalled attempt is silent and no other is possible. One
    /// that goes on is followed until it ends or stalls again.
    /// @returns the next step; `give_up` is not final while an attempt is
    ///          stalled
    boost::asio::awaitable<next_step> await_stalled();
    /// Ends the other attempt of the request, if there is one, before an
    /// attempt writes to the caller.
    /// @returns false when the other one has done so before
    boost::asio::awaitable<bool> take_over(attempt_ref attempt);
    /// @returns true when an attempt has stalled that writes again or has ended
    bool stall_has_ended() const;
    /// @returns true when the events of a new attempt may follow what the
    ///          caller has received until now, and a shutdown leaves it time
    bool may_replace_stalled(forwarded_attempt const& attempt) const;
    /// @returns true when the stalled attempt has written more since another
    ///          one was sent, which therefore begins too far back
    bool is_overtaken(forwarded_attempt const& attempt) const;
    /// Cancels the attempt that was to replace the stalled one.
    void cancel_replacement();
    /// Ends the stalled attempt, before another one writes to the caller.
    boost::asio::awaitable<void> stop_stalled();
    /// @returns true when this node waits for several answers of the replica,
    ///          which has sent nothing since the attempt waits
    bool owes_several_answers(forwarded_attempt const& attempt) const;
    void on_stalled(attempt_ref const& attempt);
    /// @param opened how the call has ended, other than with an answer
    /// @returns what this says about the attempt
    attempt_outcome classify_unanswered(
        forwarded_attempt const& attempt, call_result opened) const;
    /// Decides what follows the end of an attempt at a replica.
    boost::asio::awaitable<next_step>
    after_attempt(attempt_ref attempt, attempt_outcome end);
    /// @returns how the attempt has ended, as the connection and the deadline
    ///          show
    attempt_outcome
    classify_end(forwarded_attempt const& attempt, attempt_outcome end) const;
    /// Releases the replica of an attempt that has ended, and reports the end.
    /// @returns true when other nodes count the crashes of the request
    bool conclude(forwarded_attempt& attempt, attempt_outcome end);
    boost::asio::awaitable<bool> write_to_caller(std::string_view piece);
    http_response final_answer();
    /// Adds to a line how long after the beginning of a shutdown something has
    /// happened, negative when before; nothing without a shutdown.
    void add_stop_time(log_line& line, instant when) const;
    /// Adds to a line how long ago this node last received anything from a
    /// replica; nothing when it never did.
    void add_heard_time(log_line& line, endpoint_id const& from) const;
    void log_completion(std::string_view reason);
    boost::asio::awaitable<void> finish(std::string_view why);
    bool may_retry(attempt_outcome end);
    bool consume_resend_budget();
    /// @returns what the end of an attempt says about its replica; nothing when
    ///          it says nothing
    std::optional<attempt_report> make_attempt_report(
        forwarded_attempt const& attempt, attempt_outcome end) const;
    void record_health(
        forwarded_attempt const& attempt, attempt_report const& report);
    void log_attempt(forwarded_attempt const& attempt, attempt_outcome end);
    std::chrono::milliseconds retry_after() const;
    call_times send_times(instant now) const;
    platform::send_terms make_send_terms(replica const& at, instant now) const;

    gateway_state* state_;
    peer_messenger* messenger_;
    http_exchange* exchange_;
    instant arrived_at_;
    instant deadline_;
    platform::caller_demand demand_;
    /// Set when another node has relayed the request.
    std::optional<relay_terms> relayed_;
    std::optional<service_route> route_;
    /// The request may run twice, also by the configuration of the node that
    /// has relayed it.
    bool idempotent_ = false;
    /// The team of the caller's API key.
    std::optional<team_definition> team_;
    /// Units taken from the team's usage cap, 0 for none.
    std::uint64_t granted_units_ = 0;
    replica_requirements need_;
    request_fingerprint fingerprint_{};
    /// Fingerprints of the prompt's shared parts, and all fingerprints by which
    /// the prompt may be quarantined.
    std::vector<request_fingerprint> parts_;
    std::vector<request_fingerprint> prompt_keys_;
    /// The slot of a brittle replica with which the current attempt is sent, 0
    /// for none.
    std::uint64_t slot_number_ = 0;
    /// The quarantined part for which this request is a trial.
    std::optional<request_fingerprint> trial_part_;
    /// Number of the admitted attempt at the request gate; set from the
    /// admission until the attempt's first output or its end.
    std::optional<std::uint64_t> gate_attempt_;
    /// Remaining quarantine of the request, if it is quarantined.
    std::optional<duration> quarantined_for_;
    /// The replica that was last requested to load the adapter.
    endpoint_id load_target_;
    /// How often the request was denied a slot.
    unsigned slot_denials_ = 0;
    /// Number of replicas that were requested to load the adapter since the
    /// search for a replica began, and the start of that search.
    unsigned load_targets_ = 0;
    instant search_started_at_;
    /// Time until the adapter could be ready at the earliest, when no preferred
    /// replica can have it ready in time.
    std::optional<duration> earliest_ready_in_;
    /// Time after which a refused request may succeed, where it is known.
    std::optional<duration> refusal_retry_after_;
    /// The stream that the request begins or resumes.
    stream_key stream_{};
    /// The origin of the stream was recorded for this request.
    bool origin_recorded_ = false;
    attempt_tracker tracker_{false};
    delivery_position position_;
    /// The attempt that has stalled and may go on.
    attempt_ref stalled_;
    /// The attempt that was begun last.
    attempt_ref newest_;
    /// How often attempts of the request have stalled.
    unsigned stalls_ = 0;
    /// API keys are in force for this request.
    bool authenticated_ = false;
    /// The request is delayed until its replica has processed other prompts,
    /// has rested, or should have a free slot.
    bool delayed_ = false;
    bool response_started_ = false;
    /// For the log: when the first and the latest bytes were sent to the
    /// caller, and the longest pause between two writes.
    instant first_sent_at_;
    instant last_sent_at_;
    duration longest_pause_{0};
    bool response_complete_ = false;
    unsigned attempts_ = 0;
    /// Attempts that could not connect to their replica.
    unsigned unreached_ = 0;
    /// Peers to which the request was relayed in vain.
    std::set<std::string> tried_peers_;
    /// The request was refused before it was handled: another node may do it.
    bool declined_ = false;
    /// The request is not sent again, since the node shuts down.
    bool refused_in_shutdown_ = false;
    /// All events may have been forwarded: the next attempt shows whether more
    /// follow.
    bool confirms_end_ = false;
    /// The latest search has found no replica.
    bool search_failed_ = false;
    /// The request is in the statistics of demand.
    bool demand_recorded_ = false;
    /// The request has earned credit for resends.
    bool counted_ = false;
    /// Resends that were charged to the budget.
    unsigned resends_ = 0;
    std::optional<http_response> failure_response_;
    std::string reason_ = "unanswered";
    int status_ = 0;
    /// Status of a refusal that no replica takes part in, 0 for none.
    int rejection_status_ = 0;
    /// Shared with the callback for the caller's disconnection, which may
    /// outlive the handler.
    struct caller_state {
        bool gone = false;
        /// The node has ended the request, since it shuts down.
        bool ended = false;
        /// Calls of the attempts in progress.
        std::set<std::shared_ptr<http_call>> calls;
        waiter_list* waiters = nullptr;
        adapter_id adapter;

        void cancel_calls() const {
            for (auto const& each : calls) {
                each->cancel();
            }
        }
    };
    std::shared_ptr<caller_state> caller_;
    live_requests::entry live_;
};

} // namespace camphorpoint
