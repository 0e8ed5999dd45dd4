#pragma once

#include "Fleet/registry_poll_schedule.hpp"
#include "Gateway/gateway_state.hpp"
#include "Gateway/peer_messenger.hpp"
#include "Gateway/store_monitor.hpp"
#include "platform/store_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace camphorpoint {

/// Keeps this node's view of the replicas up to date, from the replica registry
/// in the store and from other nodes' registry updates.
class registry_follower {
public:
    /// @param state updated from the registry; must outlive the follower
    /// @param store client of the store; must outlive the follower
    /// @param monitor informed of the store's answers and failures; must
    ///        outlive the follower
    /// @param messenger broadcasts polled changes; must outlive the follower
    /// @param changed called when replicas have changed
    registry_follower(
        gateway_state& state, platform::store_client& store,
        store_monitor& monitor, peer_messenger& messenger,
        std::function<void()> changed);

    /// Starts to poll the registry.
    void start();
    /// Stops after the poll in progress.
    void stop();
    /// Applies registry changes that another node has polled.
    void handle_registry_update(peer_registry_update const& update);
    /// Applies a peer's report for how long polls of the registry were
    /// answered.
    void handle_peer_status(duration answered_for);
    /// Requires a full poll because the store was restored from an older
    /// snapshot.
    /// @param read_at when this node should poll
    void on_store_rollback(store_epoch epoch, instant read_at);
    /// @returns up to where this node knows the registry; nothing when records
    ///          before that may be missing
    std::optional<store_position> position() const {
        return schedule_.can_read_on() ? std::optional(schedule_.position())
                                       : std::nullopt;
    }

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<platform::store_result<platform::keyed_batch>>
    fetch_batch(bool full, store_position from);
    boost::asio::awaitable<void> poll();
    boost::asio::awaitable<bool> try_poll();
    void apply_and_broadcast(
        store_position from, platform::keyed_batch const& batch);
    bool apply_entry(replica_record const& record);
    boost::asio::awaitable<void> sleep_for(std::chrono::milliseconds time);
    /// The effect of a registry record.
    struct record_effect {
        /// The record is a valid entry of a replica.
        bool is_entry = false;
        /// The record changed this node's view and has to be broadcast.
        bool changed = false;
    };
    record_effect apply_record(platform::keyed_record const& record);
    /// Notes the version of an entry that is older than the known one.
    void note_former(replica_record const& record);
    void apply_removal(endpoint_id const& id);
    void log_kept(endpoint_id const& id);
    void apply_snapshot(platform::keyed_batch const& batch);
    void log_removal(endpoint_id const& id);

    gateway_state* state_;
    platform::store_client* store_;
    store_monitor* monitor_;
    peer_messenger* messenger_;
    std::function<void()> on_change_;
    registry_poll_schedule schedule_;
    instant full_poll_at_;
    platform::store_reading reading_;
    boost::asio::steady_timer poll_timer_;
    // Shared with the coroutine, which ends after it has become false.
    std::shared_ptr<bool> running_ = std::make_shared<bool>(true);
};

} // namespace camphorpoint
