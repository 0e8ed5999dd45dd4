#pragma once

#include "Membership/probe_message.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorpoint {

/// @returns the encoded size of an update in a datagram, in bytes
std::size_t encoded_size(membership_update const& update) noexcept;

/// Updates that are still to be gossiped. Each is sent a bounded number of
/// times: a small multiple of the logarithm of the cluster size reaches all
/// nodes with high probability (SWIM, section 4.1).
class update_queue {
public:
    /// Adds an update. It replaces a queued update about the same node or
    /// endpoint.
    void add(membership_update update);
    /// Selects updates for one datagram and counts them as sent: urgent ones
    /// first, then those sent least often. Updates that have been sent often
    /// enough leave the queue.
    /// @param max_updates maximum number of updates
    /// @param max_bytes bytes that are free in the datagram
    /// @param cluster_size number of nodes in the cluster
    /// @returns the selected updates
    std::vector<membership_update> select(
        std::size_t max_updates, std::size_t max_bytes,
        std::size_t cluster_size);
    /// @returns true if there are updates that must not wait for the next probe
    bool has_urgent() const noexcept { return urgent_messages_left_ > 0; }
    /// Removes all updates, for instance when they are too old to be gossiped.
    void clear();
    /// Counts one message that was sent only to carry urgent updates.
    void on_urgent_message_sent() noexcept;
    /// @returns the number of queued updates
    std::size_t size() const noexcept { return pending_.size(); }

private:
    struct item {
        membership_update update;
        std::uint32_t times_sent = 0;
    };

    /// Keyed by "node/" or "endpoint/" followed by the id.
    std::map<std::string, item> pending_;
    std::size_t urgent_messages_left_ = 0;
};

} // namespace camphorpoint
