#pragma once

#include "Core/time.hpp"
#include "ReplicaControl/fencing_number.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint {

/// Number of partitions of the set of replicas. The platform assigns each
/// partition to one node at a time.
inline constexpr std::size_t partition_count = 96;

/// Times of the leases that entitle a node to control the replicas of a
/// partition.
struct lease_times {
    /// A node whose renewals have not arrived for this long loses its
    /// partitions.
    std::chrono::milliseconds lease{2'000};
    /// Interval between two renewals.
    std::chrono::milliseconds renewal{600};
    /// How long a new lease holder waits before its first command. The platform
    /// may have reassigned the partition without notifying the previous holder,
    /// which learns of it at its next renewal.
    std::chrono::milliseconds settling{700};
    /// Upper bound for the time that a holder continues without a granted
    /// renewal. While the store answers no node, no other node can take a
    /// partition over. A holder cannot distinguish such an outage from its own
    /// isolation, so it continues only where replicas check the fencing number,
    /// and no longer than this.
    std::chrono::milliseconds outage_extension{15'000};
    /// True when replicas refuse a command whose fencing number is lower than
    /// the highest one that they have seen.
    bool replicas_check_fencing = true;
};

/// The partitions whose replicas this node may command, and until when.
/// Prevents two nodes from commanding one replica at the same time: a holder
/// stops by its own boot clock, counted from when it sent its last granted
/// renewal, before any other node can have received the partition.
class partition_leases {
public:
    explicit partition_leases(lease_times times)
        : times_(times) {}

    /// Applies a granted renewal.
    /// @param started    when the renewal was sent
    /// @param generation generation of the group, from the answer
    /// @param partitions all partitions that this node now holds
    /// @param now        the current time
    /// @returns the newly gained partitions, each of which needs a fencing
    ///          number
    std::vector<std::size_t> on_renewal_granted(
        instant started, std::uint64_t generation,
        std::vector<std::size_t> const& partitions, instant now);
    /// Records a renewal that was refused or not answered.
    void on_renewal_failed(instant now);
    /// Sets the fencing number that this node has claimed for a partition in
    /// the log.
    /// @returns false when another holder has used a number at least as high,
    ///          so that the claim must be repeated
    bool set_token(std::size_t partition, std::uint64_t token);
    /// Records a fencing number that another node uses for the partition. A
    /// number higher than this node's own ends its hold on the partition.
    void on_higher_token(std::size_t partition, std::uint64_t token);
    /// Records that the store has answered another node. When this node's
    /// renewals have failed since before, the outage is its own, and another
    /// node may receive its partitions.
    /// @param at the store has answered at this time or later
    void on_store_answered_other(instant at);
    /// Handles a rollback of the store to an older snapshot. Every partition
    /// must be claimed again; until then this node continues with the previous
    /// fencing numbers, which every new one overrides.
    void on_store_rollback(store_epoch epoch);
    /// Gives up all partitions.
    void clear();

    /// @returns true when this node decides for the replicas of the partition:
    ///          it holds the lease, and the former holder's has ended
    bool controls(std::size_t partition, instant now) const;
    /// @returns the fencing number for commands sent now, or nothing when this
    ///          node must not command replicas of the partition
    std::optional<std::uint64_t>
    token(std::size_t partition, instant now) const;
    /// @returns when the next recently gained partition becomes usable (its
    ///          settling time ends); max when no partition is settling
    instant next_settling_end(instant now) const;
    /// @returns all partitions that were last assigned to this node
    std::vector<std::size_t> held_partitions() const;
    /// @returns held partitions whose fencing number is missing or of an
    ///          earlier store epoch
    std::vector<std::size_t> partitions_without_token() const;
    /// @returns since when no other node can have commanded replicas of the
    ///          partition; nothing when this node does not hold it
    std::optional<instant> exclusive_since(std::size_t partition) const;
    /// @returns since when this node alone counts what all nodes use of the
    ///          limits that belong to the partition; nothing when it must not
    ///          count them. No one checks a fencing number there, so the
    ///          extension in an outage of the store applies only while the
    ///          store may be out for all nodes.
    std::optional<instant>
    counting_since(std::size_t partition, instant now) const;
    /// @returns the number of partitions that no other node can hold now. The
    ///          extension in an outage of the store does not count: the outage
    ///          may concern this node only.
    std::size_t exclusive_partitions(instant now) const;
    /// @returns true when this node holds the partition by the last granted
    ///          renewal
    bool holds(std::size_t partition) const;
    /// @returns the generation of the group in the last granted renewal
    std::uint64_t generation() const noexcept { return generation_; }
    /// @returns true when the lease is valid at this time
    bool valid(instant now) const { return now < expires_at(); }
    /// @returns when the lease expires as far as is known now; no command may
    ///          be sent later
    instant expires_at() const;

private:
    struct held_partition {
        instant gained_at;
        instant exclusive_from;
        std::optional<std::uint64_t> token;
        bool superseded = false;
    };

    lease_times times_;
    std::map<std::size_t, held_partition> partitions_;
    /// Highest fencing number seen for each partition, of any node.
    std::map<std::size_t, std::uint64_t> highest_tokens_;
    store_epoch epoch_{};
    /// Store epoch at the last granted renewal.
    store_epoch renewal_epoch_{};
    std::uint64_t generation_ = 0;
    instant renewed_at_;
    /// The latest known time at which the store has answered another node.
    instant answered_other_at_;
    /// First failed renewal of the current unbroken series that began within
    /// the lease; max when there is none.
    instant failing_since_ = instant::max();
    instant last_failure_;
};

} // namespace camphorpoint
