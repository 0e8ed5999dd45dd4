#pragma once

#include "Gateway/gateway_state.hpp"
#include "Gateway/peer_messenger.hpp"
#include "Gateway/store_monitor.hpp"
#include "platform/store_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace camphorpoint {

/// Keeps in the store which contents are not run. Guards against nodes that
/// have all begun anew, and let the same request end three more replicas. One
/// node at a time reads and writes for all, by a partition that it holds, so
/// that the calls do not grow with the nodes; two that do so harm nothing.
class quarantine_persistence {
public:
    /// @param beliefs must outlive this
    /// @param store   must outlive this
    /// @param words   tells the others what was kept; must outlive this
    quarantine_persistence(
        gateway_state& state, platform::store_client& store,
        peer_messenger& messenger);

    /// Looks whether something is to be read or written; called again and
    /// again.
    void poll();
    /// The store has come back from an older copy: all is read and written
    /// anew.
    void on_store_rollback();
    /// Nothing is begun from here on.
    void stop() { *running_ = false; }

private:
    boost::asio::awaitable<void> work();
    boost::asio::awaitable<bool> read();
    boost::asio::awaitable<bool> write(quarantine_update update);
    void note_failure(platform::store_failure why, instant now);
    std::vector<quarantine_update> unsaved(instant now) const;

    gateway_state* state_;
    platform::store_client* store_;
    peer_messenger* messenger_;
    /// Turns as they stand in the store.
    std::map<request_fingerprint, std::uint32_t> saved_;
    bool loaded_ = false;
    bool active_ = false;
    unsigned failures_ = 0;
    instant retry_at_;
    std::shared_ptr<bool> running_ = std::make_shared<bool>(true);
};

} // namespace camphorpoint
