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
        store_monitor& monitor, std::function<void()> changed);

    /// Begins to follow.
    void start();
    /// Ends at the next answer.
    void stop();
    /// Another node has read so far, and knows so much.
    void handle_peer_progress(store_position position, std::uint64_t total);
    /// The store has come back from an older copy: everything is read anew.
    void on_store_rollback(store_epoch epoch, instant read_at);
    /// The store answers again: a wait from before may never end.
    void on_store_recovered();

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> poll(declaration_poll request);
    boost::asio::awaitable<platform::store_result<platform::keyed_batch>>
    fetch_batch(declaration_poll const& request);
    boost::asio::awaitable<void> cancel_stalled_long_poll();
    /// @returns false when it was ended early, as another reading is due
    boost::asio::awaitable<bool> wait_for(std::chrono::milliseconds time);
    std::chrono::milliseconds long_poll_time() const;
    void schedule_long_poll_check();
    void apply_batch(
        platform::keyed_batch const& batch, declaration_poll const& request);
    bool apply_configuration(std::string const& text);
    void apply_version(std::string const& text, duration grace);

    gateway_state* state_;
    platform::store_client* store_;
    store_monitor* monitor_;
    std::function<void()> on_change_;
    declaration_poll_schedule schedule_;
    platform::store_reading reading_;
    boost::asio::steady_timer delay_timer_;
    /// Set while a reading, and while a wait, goes on.
    bool poll_in_progress_ = false;
    bool long_polling_ = false;
    instant poll_started_at_;
    bool check_scheduled_ = false;
    // Shared with the coroutines, which end after it has turned false.
    std::shared_ptr<bool> running_ = std::make_shared<bool>(true);
};

} // namespace camphorpoint
