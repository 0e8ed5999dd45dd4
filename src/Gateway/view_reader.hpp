#pragma once

#include "Core/store_position.hpp"
#include "Fleet/view_read_schedule.hpp"
#include "Gateway/gateway_state.hpp"
#include "platform/store_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace camphorpoint {

/// Reads whether the store has a software version or a declaration that this
/// node does not know yet. Changes nothing: the followers apply what is new.
class view_reader {
public:
    /// @param state             must outlive the reader
    /// @param store             client of the store; must outlive the reader
    /// @param registry_position up to where this node knows the replica
    ///                          registry; nothing when records may be missing
    view_reader(
        gateway_state& state, platform::store_client& store,
        std::function<std::optional<store_position>()> registry_position);

    /// Begins a read for a request, or shares one that is still to be sent.
    /// @param arrived when the request arrived
    void request(instant arrived);
    /// Waits for the read, at most `view_read_patience` from the arrival on.
    /// @param arrived the time that was given to `request`
    /// @returns true when the store has answered a read that was sent after the
    ///          arrival, and this node's view lacks nothing
    boost::asio::awaitable<bool> wait(instant arrived);
    /// Ends all waits.
    void stop();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> read();
    boost::asio::awaitable<bool> knows_declarations();
    boost::asio::awaitable<bool> knows_versions();
    void wake();

    gateway_state* state_;
    platform::store_client* store_;
    std::function<std::optional<store_position>()> registry_position_;
    view_read_schedule schedule_;
    std::set<boost::asio::steady_timer*> waiting_;
    bool active_ = false;
    // Shared with the coroutines, which end after it has become false.
    std::shared_ptr<bool> running_ = std::make_shared<bool>(true);
};

} // namespace camphorpoint
