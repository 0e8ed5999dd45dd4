#pragma once

#include "Gateway/store_monitor.hpp"
#include "Routing/declaration_poll_schedule.hpp"
#include "platform/store_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace camphorpoint {

/// Follows what the operator declares, from the store into this node's beliefs.
/// `declaration_poll_schedule` decides which reading comes next; this carries
/// it out.
class declaration_follower {
public:
    /// @param beliefs where what is read goes; must outlive the follower
    /// @param store   the store's client; must outlive the follower
    /// @param watch   told whether the store answers; must outlive the follower
    /// @param changed called when routes or versions have changed
    declaration_follower(
        gateway_state& state, platform::store_client& store,
        store_monitor& watch, std::function<void()> changed);

    /// Begins to follow.
    void start();
    /// Ends at the next answer.
    void stop();
    /// Another node has read so far, and knows so much.
    void handle_peer_progress(store_position place, std::uint64_t total);
    /// The store has come back from an older copy: everything is read anew.
    void on_store_rollback(store_epoch epoch, instant read_at);
    /// The store answers again: a wait from before may never end.
    void on_store_recovered();

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> read(declaration_poll asked);
    boost::asio::awaitable<platform::store_result<platform::keyed_batch>>
    ask(declaration_poll const& asked);
    boost::asio::awaitable<void> end_useless_wait();
    /// @returns false when it was ended early, as another reading is due
    boost::asio::awaitable<bool> pause(std::chrono::milliseconds time);
    std::chrono::milliseconds longest_wait() const;
    void look_again();
    void
    take_all(platform::keyed_batch const& batch, declaration_poll const& asked);
    bool take_configuration(std::string const& text);
    void take_version(std::string const& text, duration grace);

    gateway_state* state_;
    platform::store_client* store_;
    store_monitor* monitor_;
    std::function<void()> changed_;
    declaration_poll_schedule plan_;
    platform::store_reading reading_;
    boost::asio::steady_timer pause_timer_;
    /// Set while a reading, and while a wait, goes on.
    bool reading_now_ = false;
    bool waiting_ = false;
    instant reading_began_;
    bool looking_ = false;
    // Shared with the coroutines, which end after it has turned false.
    std::shared_ptr<bool> running_ = std::make_shared<bool>(true);
};

} // namespace camphorpoint
