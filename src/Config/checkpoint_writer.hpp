#pragma once

#include "Config/config_follower.hpp"
#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Records/log_record.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorpoint {

/// When checkpoints are written.
struct checkpoint_settings {
    /// How long the log keeps a record, by the platform's word.
    std::chrono::seconds retention{24 * 3'600};
    /// A checkpoint is due after so many records.
    std::uint64_t records_between = 2'048;
    /// By how much longer each next node in rank waits before it writes.
    /// More than a whole checkpoint takes, or two nodes would write.
    std::chrono::milliseconds rank_delay{120'000};
    /// Time between two parts, and before a failed one is sent again.
    /// Each part takes every node a few milliseconds to read: spread out,
    /// they hold up no stream.
    std::chrono::milliseconds part_pause{500};
    /// Bound of one record.
    std::size_t part_bytes = 65'536;
};

/// Append a part of a checkpoint to the configuration stream.
struct checkpoint_append {
    /// Given back in on_append_ended.
    std::uint64_t append = 0;
    std::string data;
};

/// What the writer asks for.
using checkpoint_action = std::variant<checkpoint_append, log_event>;

/// Decides when this node writes a checkpoint, and writes it part by part.
/// No node leads: all see the same log, rank themselves by rendezvous hashing,
/// and wait by rank. Two that write at once do no harm.
class checkpoint_writer {
public:
    checkpoint_writer(node_id self, checkpoint_settings settings);

    /// Time has passed.
    /// @param follower what this node has applied and seen
    /// @param peers    the live nodes, this one among them or not
    /// @param calendar now, by the calendar clock
    std::vector<checkpoint_action> on_tick(
        config_follower const& follower, std::vector<node_id> const& peers,
        instant now, wall_time calendar);
    /// An append has ended.
    void on_append_ended(std::uint64_t append, append_result how, instant now);
    /// @returns true while parts are being written
    bool writing() const noexcept { return !parts_.empty(); }

private:
    bool due(config_follower const& follower, wall_time calendar) const;
    duration
    wait_by_rank(log_offset since, std::vector<node_id> const& peers) const;
    void begin(
        config_follower const& follower, instant now,
        std::vector<checkpoint_action>& out);
    void write_on(
        config_follower const& follower, instant now,
        std::vector<checkpoint_action>& out);
    void stop(instant now);

    node_id self_;
    checkpoint_settings settings_;
    std::optional<instant> start_at_;
    std::deque<checkpoint_part> parts_;
    instant not_before_{};
    log_offset covers_;
    instant give_up_at_{};
    instant next_part_{};
    std::uint64_t last_append_ = 0;
    bool appending_ = false;
    /// True when the first of parts_ stands in the log.
    bool part_done_ = false;
};

} // namespace camphorpoint
