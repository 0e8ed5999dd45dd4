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

/// Sends a replica's owner the permission to start its load.
struct send_load_allowed {
    node_id to;
    load_allowed message;
};

/// Notifies a replica's owner that the store permits no loads for a while.
struct send_load_denied {
    node_id to;
    load_denied message;
};

/// An action that a store_budget requests from its environment.
using budget_action =
    std::variant<send_load_allowed, send_load_denied, log_event>;

/// Decides which replica may load next from one weight store. Runs at the owner
/// of the store; a node that cannot reach the owner uses a store_budget of its
/// own, with the limits from fallback_limits().
///
/// At most `loads_per_second` loads start in any second, and at most
/// `concurrency` loads run at the same time. The pending request with the
/// largest weight goes first. All loads take about the same time, so serving
/// the largest weight first minimizes the total weighted waiting time.
/// Reference: W. E. Smith, "Various optimizers for single-stage production",
/// Naval Research Logistics Quarterly 3, 1956.
class store_budget {
public:
    explicit store_budget(store_limits const& limits);

    /// This node owns the store until `not_after`. With a new fencing number
    /// the last second counts as fully used, since the former owner may have
    /// permitted loads in it.
    void on_authority(log_offset fencing, instant not_after, instant now);
    /// A newer claim of the store was seen: no further loads are permitted.
    void on_authority_lost(instant now);
    void on_load_request(
        node_id const& from, load_request const& request, instant now);
    void on_load_cancelled(
        node_id const& from, load_cancelled const& message, instant now);
    void on_load_result(
        node_id const& from, load_result const& message, instant now);
    /// Removes expired entries and permits loads. Loads are permitted after
    /// every other event too.
    void on_tick(instant now);

    /// Removes and returns the pending actions.
    /// @returns the actions to execute, in order
    std::vector<budget_action> take_actions();

    /// @returns the number of pending load requests
    std::size_t waiting() const noexcept { return requests_.size(); }
    /// @returns the number of permissions in use
    std::size_t running() const noexcept { return running_.size(); }
    /// @returns true while consecutive failures indicate that the store is down
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
    /// Start times of the loads in the last window, oldest first.
    std::deque<instant> starts_;
    std::uint64_t next_permission_ = 1;
    std::uint32_t failures_ = 0;
    adapter_id last_failed_;
    instant paused_until_;
    /// Baseline and recent average of the measured load times.
    duration baseline_load_time_{};
    duration recent_load_time_{};
    std::vector<budget_action> actions_;
};

} // namespace camphorpoint
