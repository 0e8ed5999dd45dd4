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

/// How many partitions the replicas fall into. The platform deals them to the
/// nodes, each to one at a time.
inline constexpr std::size_t partition_count = 96;

/// Times of the leases by which a node orders for a part of the replicas.
struct lease_times {
    /// A node that has sent nothing for so long loses its partitions.
    std::chrono::milliseconds lease{2'000};
    /// How often a node says that it is there.
    std::chrono::milliseconds renewal{600};
    /// How long a new holder waits before its first order. The one before may
    /// have been dealt out without a word and learns of it at its next renewal.
    std::chrono::milliseconds settling{700};
    /// While the store answers nobody no other node can take a partition over.
    /// A holder that is cut off can't tell this from its own cut, so it goes on
    /// only where replicas check the fencing number, and no longer than this.
    std::chrono::milliseconds outage_extension{15'000};
    /// Replicas refuse an order with a lower fencing number than one they saw.
    bool replicas_check_fencing = true;
};

/// Which partitions of the replicas this node orders for, and until when.
/// Guards against two nodes that order for one replica: a holder stops by its
/// own reading of the boot clock, counted from the start of its last renewal
/// that was granted, before any other can have been given the partition.
class partition_leases {
public:
    explicit partition_leases(lease_times times)
        : times_(times) {}

    /// A renewal was granted.
    /// @param started    when it was sent
    /// @param generation the group's generation in the answer
    /// @param partitions all that this node holds now
    /// @returns the partitions that are new to it: each needs a fencing number
    std::vector<std::size_t> on_renewal_granted(
        instant started, std::uint64_t generation,
        std::vector<std::size_t> const& partitions, instant now);
    /// A renewal was not granted, or had no answer.
    void on_renewal_failed(instant now);
    /// The fencing number for a partition was had from the log.
    /// @returns false when another holder has shown one as high: it must be had
    ///          again
    bool set_token(std::size_t partition, std::uint64_t token);
    /// Another node has shown a higher fencing number for the partition.
    void on_higher_token(std::size_t partition, std::uint64_t token);
    /// The store has come back from an older copy. What was claimed before is
    /// claimed again; until then orders go on under the old number, which each
    /// new one overrides.
    void on_store_rollback(store_epoch epoch);
    /// This node gives all up.
    void clear();

    /// @returns the fencing number to order with right now, nothing when this
    ///          node must not order for the partition
    std::optional<std::uint64_t>
    token(std::size_t partition, instant now) const;
    /// @returns when the next partition may be ordered for that may not yet, as
    ///          it was gained a moment ago; max when there is none
    instant next_settling_end(instant now) const;
    /// @returns all partitions that this node was given last, and those whose
    ///          fencing number is still missing or of an earlier era
    std::vector<std::size_t> held_partitions() const;
    std::vector<std::size_t> partitions_without_token() const;
    /// @returns since when no other can have ordered for the partition; nothing
    ///          when this node does not hold it
    std::optional<instant> exclusive_since(std::size_t partition) const;
    /// @returns true when this node was given the partition last
    bool holds(std::size_t partition) const;
    /// @returns the group's generation as told last
    std::uint64_t generation() const noexcept { return generation_; }
    /// @returns true when the lease counts at this time
    bool valid(instant now) const { return now < expires_at(); }
    /// @returns when the lease ends as far as is known now: no order may leave
    ///          later
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
    /// The highest fencing number that was shown for each partition.
    std::map<std::size_t, std::uint64_t> highest_tokens_;
    store_epoch epoch_{};
    /// The era of the last renewal that was granted.
    store_epoch renewal_epoch_{};
    std::uint64_t generation_ = 0;
    instant renewed_at_;
    /// The last failed renewal of an unbroken row that began in the lease.
    instant failing_since_ = instant::max();
    instant last_failure_;
};

} // namespace camphorpoint
