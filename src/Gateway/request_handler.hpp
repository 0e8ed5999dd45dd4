#pragma once

#include "Delivery/attempt_tracker.hpp"
#include "Delivery/delivery_position.hpp"
#include "Delivery/joined_events.hpp"
#include "Delivery/request_fingerprint.hpp"
#include "Gateway/gateway_state.hpp"
#include "Gateway/peer_messenger.hpp"
#include "Ports/http_client.hpp"
#include "Ports/http_server.hpp"
#include "platform/request_wire.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// Least time that a replica needs for anything.
inline constexpr std::chrono::milliseconds min_attempt_time{20};

/// One request's way from its caller to a replica and back.
class request_handler {
public:
    /// @param beliefs  what the node knows; must outlive the flow
    /// @param words    for wants of adapters; must outlive the flow
    /// @param exchange the caller's request; must outlive the flow
    request_handler(
        gateway_state& state, peer_messenger& messenger,
        http_exchange& exchange);
    ~request_handler();
    request_handler(request_handler const&) = delete;
    request_handler& operator=(request_handler const&) = delete;

    /// Answers the request.
    boost::asio::awaitable<void> run();

private:
    /// How one attempt ended.
    enum class attempt_outcome : std::uint8_t {
        /// The caller has its whole answer, or is gone.
        finished,
        /// The replica, or one at its address, has not run it.
        refused,
        /// No byte of it was sent.
        unreached,
        /// The replica ran it and failed, or answered with what can't be meant.
        failed,
        /// It fell silent.
        silent,
        /// It broke off.
        broken,
        /// Its connection ended, which tells a whole stream from a cut one only
        /// when another run has nothing to add.
        unproven,
        /// The time is over.
        late
    };

    /// What one run brought.
    struct attempt_trace {
        /// The last event handed on when it began.
        std::uint64_t after = 0;
        /// Bytes behind its last whole event.
        std::size_t half_bytes = 0;
        /// How the answer's body ended.
        std::string_view body = "none";
        /// The replica's connection ended before its answer had.
        bool broke_off = false;
    };

    bool resolve_route();
    bool refuse_quarantined();
    /// @returns true when others count the content's ends and may say that it
    ///          is held
    bool report_outcome(endpoint_id const& at, attempt_outcome end);
    boost::asio::awaitable<void> await_crash_reports();
    boost::asio::awaitable<bool> enter_gate(endpoint_id at);
    void report_first_output();
    void leave_gate(attempt_outcome end);
    boost::asio::awaitable<void> run_attempts();
    boost::asio::awaitable<replica*> find_replica();
    boost::asio::awaitable<void> refresh_utilization();
    std::optional<replica*> select_plain_replica(instant now);
    bool awaits_registry_entries(instant now) const;
    std::optional<replica*> select_adapter_replica(instant now);
    replica* select_preferred_replica(instant now);
    bool should_delay(replica const& at, instant now) const;
    bool load_already_rejected(instant now) const;
    void request_additional_load(replica const& best, instant now);
    void request_load_at(replica* home, bool urgent);
    duration wait_budget(instant now) const;
    duration objective_fraction(double part) const;
    boost::asio::awaitable<attempt_outcome> attempt(replica& at);
    boost::asio::awaitable<attempt_outcome>
    read_answer(endpoint_id at, std::shared_ptr<http_call> call);
    boost::asio::awaitable<attempt_outcome>
    forward_stream(std::shared_ptr<http_call> call);
    boost::asio::awaitable<bool>
    forward_events(std::shared_ptr<http_call> call, joined_events events);
    boost::asio::awaitable<attempt_outcome> finish_stream_attempt(
        std::shared_ptr<http_call> call, attempt_stream const& stream,
        bool read_to_end);
    boost::asio::awaitable<attempt_outcome>
    forward_buffered(std::shared_ptr<http_call> call, int status);
    boost::asio::awaitable<bool> write_to_caller(std::string_view piece);
    http_response final_answer();
    void log_completion(std::string_view reason);
    boost::asio::awaitable<void> finish(std::string_view why);
    bool may_retry(attempt_outcome end);
    bool consume_resend_budget();
    void record_health(endpoint_id const& at, attempt_outcome end);
    void log_attempt(endpoint_id const& at, attempt_outcome end);
    std::chrono::milliseconds retry_after() const;
    call_times send_times(instant now) const;
    platform::send_terms make_send_terms(replica const& at, instant now) const;

    gateway_state* state_;
    peer_messenger* messenger_;
    http_exchange* exchange_;
    instant arrived_at_;
    instant deadline_;
    platform::caller_demand demand_;
    std::optional<service_route> route_;
    replica_requirements need_;
    request_fingerprint fingerprint_{};
    /// Its number at the content's gate, while it was let begin and has shown
    /// nothing yet.
    std::optional<std::uint64_t> gate_attempt_;
    /// For how long its content is not run.
    std::optional<duration> quarantined_for_;
    /// The replica that was asked last to hold the adapter.
    endpoint_id load_target_;
    /// How many were asked since the search began, and when that was.
    unsigned load_targets_ = 0;
    instant search_started_at_;
    /// How long the adapter would take at the soonest, when no home can have it
    /// ready in time.
    std::optional<duration> earliest_ready_in_;
    attempt_tracker tracker_{false};
    delivery_position position_;
    attempt_trace trace_;
    /// It waits for its replica to read other prompts.
    bool delayed_ = false;
    bool response_started_ = false;
    /// What the caller saw, for the log: when its first bytes left, and the
    /// longest pause between bytes since.
    instant first_sent_at_;
    instant last_sent_at_;
    duration longest_pause_{0};
    bool response_complete_ = false;
    unsigned attempts_ = 0;
    /// Second sends that were drawn on the budget.
    unsigned resends_ = 0;
    std::optional<http_response> failure_response_;
    std::string reason_ = "unanswered";
    int status_ = 0;
    /// Shared with the call-back that the caller's leaving triggers, which may
    /// outlive the flow.
    struct caller_state {
        bool gone = false;
        std::shared_ptr<http_call> call;
        waiter_list* waiters = nullptr;
        adapter_id adapter;
    };
    std::shared_ptr<caller_state> caller_;
};

} // namespace camphorpoint
