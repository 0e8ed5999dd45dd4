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

/// Saves the quarantined requests in the store and reads them back. Guards
/// against a poison request that crashes three more replicas after a restart of
/// all nodes. One node at a time reads and writes for all, namely the lease
/// holder of one fixed partition, so that the number of calls does not grow
/// with the number of nodes. A write names the end of the log that its writer
/// has read, so that neither another writer's record nor a newer one is
/// replaced by a write that is carried out late; after a failed one the records
/// are read again.
class quarantine_persistence {
public:
    /// @param state     must outlive this
    /// @param store     must outlive this
    /// @param messenger broadcasts the quarantines that were read; must outlive
    ///                  this
    quarantine_persistence(
        gateway_state& state, platform::store_client& store,
        peer_messenger& messenger);

    /// Starts a read or write if one is due; called periodically.
    void poll();
    /// The store was restored from an older snapshot: everything is read and
    /// written again.
    void on_store_rollback();
    /// Starts no further reads or writes.
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
    /// Revision of each quarantine as it is in the store.
    std::map<request_fingerprint, std::uint32_t> saved_;
    /// Where the topic ends, by the last read or write.
    store_position end_;
    bool loaded_ = false;
    bool active_ = false;
    unsigned failures_ = 0;
    instant retry_at_;
    std::shared_ptr<bool> running_ = std::make_shared<bool>(true);
};

} // namespace camphorpoint
