#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Loading/load_messages.hpp"
#include "Loading/store_limits.hpp"
#include "Telemetry/log_event.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <variant>
#include <vector>

namespace camphorpoint {

/// Tell a replica's owner that its load may start.
struct send_load_allowed {
    node_id to;
    load_allowed message;
};

/// Tell a replica's owner to come back later.
struct send_load_denied {
    node_id to;
    load_denied message;
};

/// What a store_budget asks for.
using budget_action =
    std::variant<send_load_allowed, send_load_denied, log_event>;

/// Decides who loads next from one weight store. Runs at the store's owner;
/// with fallback_limits() limits also at each node that reaches no owner.
///
/// Loads start at most `loads_per_second` times in any second and at most
/// `concurrency` run at once. Among the wants the one with the largest weighted
/// wait goes first: all loads last about as long, so that serving the largest
/// weight first gives the least weighted waiting time in all.
/// Reference: W. E. Smith, "Various optimizers for single-stage production",
/// Naval Research Logistics Quarterly 3, 1956.
class store_budget {
public:
    explicit store_budget(store_limits const& limits);

    /// The store is owned from now until `not_after`. Under a new fencing
    /// number the last second counts as fully used, since the former owner may
    /// have dealt it out.
    void on_authority(log_offset fencing, instant not_after, instant now);
    /// A newer claim was seen: nothing more is allowed.
    void on_authority_lost(instant now);
    void on_load_request(
        node_id const& from, load_request const& request, instant now);
    void on_load_cancelled(
        node_id const& from, load_cancelled const& message, instant now);
    void on_load_result(
        node_id const& from, load_result const& message, instant now);
    /// Time has passed. Permissions are given here and with each other event.
    void on_tick(instant now);

    /// @returns what is to be done, in order; the list is empty afterwards
    std::vector<budget_action> take_actions();

    /// @returns how many wants wait
    std::size_t waiting() const noexcept { return requests_.size(); }
    /// @returns how many permissions are in use
    std::size_t running() const noexcept { return running_.size(); }
    /// @returns true while failures say that the store is down
    bool down() const noexcept {
        return failures_ >= limits_.failures_when_down;
    }

private:
    struct load_key {
        endpoint_id replica;
        adapter_ref adapter;
        friend auto operator<=>(load_key const&, load_key const&) = default;
    };
    struct pending_request {
        node_id from;
        load_request message;
        instant first_requested;
        instant last_received;
    };
    struct permission {
        load_key key;
        instant given;
    };
    using request_map = std::map<load_key, pending_request>;

    void drop_expired(instant now);
    bool crosses_permission(load_key const& key, instant now);
    void deny_while_paused(
        node_id const& to, load_request const& request, instant now);
    void allow_loads(instant now);
    bool may_start(instant now) const;
    bool may_prefetch(instant now) const;
    bool window_is_full(instant now) const;
    double weight(pending_request const& each, instant now) const;
    request_map::iterator best_request(instant now);
    void allow_load(request_map::iterator which, instant now);
    void record_success(load_result const& message, instant now);
    void record_failure(load_result const& message, instant now);
    std::size_t starts_in_window() const;
    duration window() const;

    store_limits limits_;
    log_offset fencing_;
    instant not_after_;
    bool owned_ = false;
    request_map requests_;
    std::map<std::uint64_t, permission> running_;
    /// Starts of the last window, oldest first.
    std::deque<instant> starts_;
    std::uint64_t next_permission_ = 1;
    std::uint32_t failures_ = 0;
    adapter_id last_failed_;
    instant paused_until_;
    /// Measured load times: the usual one, and the one of late.
    duration baseline_load_time_{};
    duration recent_load_time_{};
    std::vector<budget_action> actions_;
};

} // namespace camphorpoint
