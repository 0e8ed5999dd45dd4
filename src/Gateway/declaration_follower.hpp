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

/// Keeps the configuration and the adapter versions up to date with the
/// operator's declarations in the store. `declaration_poll_schedule` decides
/// what to poll and when; this class carries it out.
class declaration_follower {
public:
    /// @param state updated from the declarations; must outlive the follower
    /// @param store client of the store; must outlive the follower
    /// @param monitor informed of the store's answers and failures; must
    ///        outlive the follower
    /// @param changed called when routes or versions have changed
    declaration_follower(
        gateway_state& state, platform::store_client& store,
        store_monitor& monitor, std::function<void()> changed);

    /// Starts to poll the declarations.
    void start();
    /// Stops after the poll in progress.
    void stop();
    /// Handles another node's position in the declarations.
    /// @param total sum of the versions that the other node knows
    void handle_peer_progress(store_position position, std::uint64_t total);
    /// Requires a full poll because the store was restored from an older
    /// snapshot.
    /// @param read_at when this node should poll
    void on_store_rollback(store_epoch epoch, instant read_at);
    /// Cancels a poll from before the store's outage, which may never be
    /// answered.
    void on_store_recovered();

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> poll(declaration_poll request);
    boost::asio::awaitable<platform::store_result<platform::keyed_batch>>
    fetch_batch(declaration_poll const& request);
    boost::asio::awaitable<void> cancel_stalled_long_poll();
    /// @returns false when the wait was cancelled because another poll is due
    boost::asio::awaitable<bool> wait_for(std::chrono::milliseconds time);
    std::chrono::milliseconds long_poll_time() const;
    void schedule_long_poll_check();
    void apply_batch(
        platform::keyed_batch const& batch, declaration_poll const& request);
    void apply_teams();
    bool apply_configuration(std::string const& text);
    void apply_version(std::string const& text, duration grace);

    gateway_state* state_;
    platform::store_client* store_;
    store_monitor* monitor_;
    std::function<void()> on_change_;
    declaration_poll_schedule schedule_;
    platform::store_reading reading_;
    boost::asio::steady_timer delay_timer_;
    /// Set while a poll, or a long poll, is in progress.
    bool poll_in_progress_ = false;
    bool long_polling_ = false;
    instant poll_started_at_;
    bool check_scheduled_ = false;
    // Shared with the coroutines, which end after it has become false.
    std::shared_ptr<bool> running_ = std::make_shared<bool>(true);
};

} // namespace camphorpoint
