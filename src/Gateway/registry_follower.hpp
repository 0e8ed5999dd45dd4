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

namespace camphorpoint {

/// Follows what the replicas say of themselves, from the store and from other
/// nodes' readings of it, into this node's beliefs.
class registry_follower {
public:
    /// @param beliefs where what is read goes; must outlive the follower
    /// @param store   the store's client; must outlive the follower
    /// @param watch   told whether the store answers; must outlive the follower
    /// @param words   tells other nodes what was read; must outlive the
    /// follower
    /// @param changed called when replicas have changed
    registry_follower(
        gateway_state& state, platform::store_client& store,
        store_monitor& monitor, peer_messenger& messenger,
        std::function<void()> changed);

    /// Begins to follow.
    void start();
    /// Ends at the next answer.
    void stop();
    /// Another node has read on in the list.
    void handle_registry_update(peer_registry_update const& update);
    /// The store has come back from an older copy: the list is read whole.
    void on_store_rollback(store_epoch epoch, instant read_at);

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
    /// What a record of the list comes to.
    struct record_effect {
        /// It is the entry of a replica.
        bool is_entry = false;
        /// Other nodes are to be told.
        bool changed = false;
    };
    record_effect apply_record(platform::keyed_record const& record);
    void apply_removal(endpoint_id const& id);
    void apply_snapshot(platform::keyed_batch const& batch);
    void log_removal(endpoint_id const& id);

    gateway_state* state_;
    platform::store_client* store_;
    store_monitor* monitor_;
    peer_messenger* messenger_;
    std::function<void()> on_change_;
    registry_poll_schedule schedule_;
    platform::store_reading reading_;
    boost::asio::steady_timer poll_timer_;
    // Shared with the coroutine, which ends after it has turned false.
    std::shared_ptr<bool> running_ = std::make_shared<bool>(true);
};

} // namespace camphorpoint
