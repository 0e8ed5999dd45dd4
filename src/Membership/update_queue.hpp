#pragma once

#include "Membership/probe_message.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorpoint {

/// @returns the bytes that an update takes in a datagram
std::size_t encoded_size(membership_update const& update) noexcept;

/// News that still has to be passed on, each a bounded number of times: a few
/// times the logarithm of the cluster's size reaches all nodes with high
/// probability (SWIM, section 4.1).
class update_queue {
public:
    /// Adds news; older news of the same subject is dropped.
    void add(membership_update update);
    /// @returns the news passed on least often, at most this many and not more
    /// bytes than a datagram has left; counts them as passed on
    /// @param most      how many
    /// @param room      bytes that are left in the datagram
    /// @param cluster   how many nodes there are
    std::vector<membership_update> select(
        std::size_t max_updates, std::size_t max_bytes,
        std::size_t cluster_size);
    /// @returns true when there is news so urgent that it does not wait for
    /// the next probe
    bool has_urgent() const noexcept { return urgent_messages_left_ > 0; }
    /// Drops all news, as when it is too old to be passed on.
    void clear();
    /// Counts one message that carries urgent news.
    void on_urgent_message_sent() noexcept;
    /// @returns how many pieces of news wait
    std::size_t size() const noexcept { return pending_.size(); }

private:
    struct item {
        membership_update update;
        std::uint32_t times_sent = 0;
    };

    /// By kind of subject and name.
    std::map<std::string, item> pending_;
    std::size_t urgent_messages_left_ = 0;
};

} // namespace camphorpoint
