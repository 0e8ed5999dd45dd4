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
        gateway_state& state, peer_messenger& words, http_exchange& exchange);
    ~request_handler();
    request_handler(request_handler const&) = delete;
    request_handler& operator=(request_handler const&) = delete;

    /// Answers the request.
    boost::asio::awaitable<void> run();

private:
    /// How one attempt ended.
    enum class attempt_end : std::uint8_t {
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
    struct run_trace {
        /// The last event handed on when it began.
        std::uint64_t after = 0;
        /// Bytes behind its last whole event.
        std::size_t half_bytes = 0;
        /// How the answer's body ended.
        std::string_view body = "none";
        /// The replica's connection ended before its answer had.
        bool broke_off = false;
    };

    bool admit();
    bool refuse_held();
    /// @returns true when others count the content's ends and may say that it
    ///          is held
    bool note_content(endpoint_id const& at, attempt_end end);
    boost::asio::awaitable<void> hear_counts();
    boost::asio::awaitable<bool> pass_gate(endpoint_id at);
    void prove_content();
    void leave_gate(attempt_end end);
    boost::asio::awaitable<void> answer_all();
    boost::asio::awaitable<replica*> find_replica();
    boost::asio::awaitable<void> freshen_loads();
    std::optional<replica*> plain_replica(instant now);
    bool awaits_entries(instant now) const;
    std::optional<replica*> adapter_replica(instant now);
    replica* home_for(instant now);
    bool should_hold(replica const& at, instant now) const;
    bool denied_already(instant now) const;
    void want_copies(replica const& best, instant now);
    void ask_for_copy(replica* home, bool urgent);
    duration patience(instant now) const;
    duration part_of_objective(double part) const;
    boost::asio::awaitable<attempt_end> attempt(replica& at);
    boost::asio::awaitable<attempt_end>
    read_answer(endpoint_id at, std::shared_ptr<http_call> call);
    boost::asio::awaitable<attempt_end>
    pass_stream(std::shared_ptr<http_call> call);
    boost::asio::awaitable<bool>
    hand_on(std::shared_ptr<http_call> call, joined_events events);
    boost::asio::awaitable<attempt_end> end_run(
        std::shared_ptr<http_call> call, attempt_stream const& run,
        bool read_whole);
    boost::asio::awaitable<attempt_end>
    pass_whole(std::shared_ptr<http_call> call, int status);
    boost::asio::awaitable<bool> forward(std::string_view piece);
    http_response final_answer();
    void note_end(std::string_view reason);
    boost::asio::awaitable<void> finish(std::string_view why);
    bool may_go_on(attempt_end end);
    bool draw_second_send();
    void note_evidence(endpoint_id const& at, attempt_end end);
    void note_attempt(endpoint_id const& at, attempt_end end);
    std::chrono::milliseconds come_back() const;
    call_times times_of_send(instant now) const;
    platform::send_terms terms_of(replica const& at, instant now) const;

    gateway_state* state_;
    peer_messenger* messenger_;
    http_exchange* exchange_;
    instant arrived_;
    instant deadline_;
    platform::caller_demand demand_;
    std::optional<service_route> route_;
    replica_requirements need_;
    request_fingerprint content_{};
    /// Its number at the content's gate, while it was let begin and has shown
    /// nothing yet.
    std::optional<std::uint64_t> gate_run_;
    /// For how long its content is not run.
    std::optional<duration> held_for_;
    /// The replica that was asked last to hold the adapter.
    endpoint_id asked_;
    /// How many were asked since the search began, and when that was.
    unsigned homes_asked_ = 0;
    instant search_began_;
    /// How long the adapter would take at the soonest, when no home can have it
    /// ready in time.
    std::optional<duration> soonest_;
    attempt_tracker ledger_{false};
    delivery_position position_;
    run_trace trace_;
    /// It waits for its replica to read other prompts.
    bool holding_ = false;
    bool begun_ = false;
    /// What the caller saw, for the log: when its first bytes left, and the
    /// longest pause between bytes since.
    instant first_sent_;
    instant last_sent_;
    duration longest_pause_{0};
    bool ended_ = false;
    unsigned tries_ = 0;
    /// Second sends that were drawn on the budget.
    unsigned second_sends_ = 0;
    std::optional<http_response> failure_;
    std::string reason_ = "unanswered";
    int status_ = 0;
    /// Shared with the call-back that the caller's leaving triggers, which may
    /// outlive the flow.
    struct leaving {
        bool gone = false;
        std::shared_ptr<http_call> call;
        waiter_list* waiters = nullptr;
        adapter_id adapter;
    };
    std::shared_ptr<leaving> leaving_;
};

} // namespace camphorpoint
