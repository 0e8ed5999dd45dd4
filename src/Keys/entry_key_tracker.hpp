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

/// A request that bears an idempotency key.
struct keyed_request {
    request_id id;
    idempotency_key key;
    std::uint64_t body_digest = 0;
    bool idempotent = false;
    instant deadline;
};

/// The entry node's side of idempotency keys: asks the owner of the key's shard
/// for leave to run, asks again while no answer comes, names running keys to
/// their owners, and tells them how each one ended.
class entry_key_tracker {
public:
    explicit entry_key_tracker(entry_key_settings settings)
        : settings_(settings) {}

    /// The owner of a shard is now known to be another; an empty id when none.
    void on_owner_changed(key_shard shard, node_id const& owner);
    /// Asks for leave to run a request. A key_decision follows.
    void request_permission(
        keyed_request const& request, clock_reading const& clock);
    /// An owner's answer has come.
    void on_reply(key_reply const& reply, clock_reading const& clock);
    /// An owner has noted an end.
    void on_completion_ack(key_completion_ack const& ack);
    /// A request with verdict `run` has ended.
    /// @param how not_run only while no byte can have reached an endpoint
    void complete(
        request_id const& id, outcome how, reason why, std::string answer,
        clock_reading const& clock);
    /// The request's caller has gone, or its time is over, before the verdict.
    /// It will not run, whatever reply still comes.
    void withdraw(request_id const& id, clock_reading const& clock);
    /// Time has passed.
    void tick(clock_reading const& clock);

    /// @returns what is to be done, in order; empties the list
    std::vector<key_action> take_actions();
    /// @returns requests that ask, wait or run
    std::size_t open() const noexcept { return open_.size(); }
    /// @returns ended requests that are still remembered
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
        /// True when it never ran here, and never will.
        bool withdrawn = false;
    };
    /// Whether the owner has to be told of an end.
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
    /// Ended requests, the oldest first.
    std::deque<request_id> completed_order_;
    /// Ends that their owners have not noted.
    std::set<request_id> unacknowledged_;
    instant next_heartbeat_;
    std::vector<key_action> actions_;
};

} // namespace camphorpoint
