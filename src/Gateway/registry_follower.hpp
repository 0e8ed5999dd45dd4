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
        store_monitor& watch, peer_messenger& words,
        std::function<void()> changed);

    /// Begins to follow.
    void start();
    /// Ends at the next answer.
    void stop();
    /// Another node has read on in the list.
    void handle_registry_update(peer_registry_update const& reading);
    /// The store has come back from an older copy: the list is read whole.
    void on_store_rollback(store_epoch epoch, instant read_at);

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<platform::store_result<platform::keyed_batch>>
    ask(bool whole, store_position from);
    boost::asio::awaitable<void> read();
    boost::asio::awaitable<bool> step();
    void tell(store_position from, platform::keyed_batch const& batch);
    bool apply(replica_record const& record);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    /// What a record of the list comes to.
    struct taken {
        /// It is the entry of a replica.
        bool entry = false;
        /// Other nodes are to be told.
        bool news = false;
    };
    taken take_replica(platform::keyed_record const& record);
    void take_end(endpoint_id const& id);
    void take_whole(platform::keyed_batch const& batch);
    void note_gone(endpoint_id const& id);

    gateway_state* state_;
    platform::store_client* store_;
    store_monitor* monitor_;
    peer_messenger* messenger_;
    std::function<void()> changed_;
    registry_poll_schedule turns_;
    platform::store_reading reading_;
    boost::asio::steady_timer list_timer_;
    // Shared with the coroutine, which ends after it has turned false.
    std::shared_ptr<bool> running_ = std::make_shared<bool>(true);
};

} // namespace camphorpoint
