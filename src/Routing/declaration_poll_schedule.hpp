#pragma once

#include "Core/store_position.hpp"
#include "Core/time.hpp"

#include <chrono>
#include <cstdint>

namespace camphorpoint {

/// The timing of a node's polls of the operator's declarations: the
/// configuration and the declared adapter versions.
struct declaration_poll_settings {
    /// A poll is cancelled when no data is received for this time. The timeout
    /// doubles with each failure in a row, since a store that many nodes read
    /// at once answers late: with a fixed timeout all nodes would cancel and
    /// ask again, and none would get an answer.
    std::chrono::milliseconds response_timeout{800};
    std::chrono::milliseconds max_response_timeout{3'200};
    /// Between a failed poll and the next one. Doubles in the same way.
    std::chrono::milliseconds retry_delay{250};
    std::chrono::milliseconds max_retry_delay{1'000};
    /// Between two full polls while there is no configuration at all. A long
    /// poll returns the first one as it is written; the full polls find one
    /// that a long poll has missed.
    std::chrono::milliseconds unconfigured_full_poll_interval{5'000};
    /// How often one of all nodes does a full poll, in case a record was missed
    /// without any sign of it. That node reports to the others how much it
    /// knows.
    std::chrono::milliseconds full_poll_interval{12'000};
    /// After the store has dropped its history its answers may be seconds old
    /// (up to 5.5 s were observed). During this period a node repeats its full
    /// poll at this interval.
    std::chrono::milliseconds stale_history_period{5'000};
    std::chrono::milliseconds stale_history_poll_interval{3'000};
};

/// One poll of the operator's declarations.
struct declaration_poll {
    /// True to request the newest record of each key, false to request the
    /// records from a position on.
    bool full = true;
    store_position from;
    /// The store may delay its answer until there is a new record.
    bool long_poll = false;
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds response_timeout{0};
};

/// Decides how a node polls the operator's declarations: when it waits in a
/// long poll for the next record, when it does a full poll, and when a pending
/// long poll is no longer trusted. A node runs one poll at a time.
class declaration_poll_schedule {
public:
    /// @param settings timing of the polls
    /// @param random_fraction 0 to 1, a different one on each node
    explicit declaration_poll_schedule(
        declaration_poll_settings settings = {}, double random_fraction = 0.5);

    /// @param nodes number of nodes that share the regular full polls
    /// @returns the poll to start now
    declaration_poll next_poll(instant now, unsigned nodes) const;
    /// Records that a poll was answered.
    /// @param poll the poll as `next_poll` returned it
    /// @param end_position position of the next record to be written
    void poll_succeeded(
        declaration_poll const& poll, store_position end_position, instant now);
    /// Records that a poll failed.
    void poll_failed();
    /// Records that the store's log no longer contains this node's position.
    void position_expired(instant now);
    /// Records that this node has a configuration.
    void mark_configured() noexcept { configured_ = true; }
    /// Sets how much this node knows: the sum of all versions, which never
    /// decreases.
    void set_known_total(std::uint64_t total) noexcept { known_total_ = total; }

    /// Processes another node's report of the position up to which it has read
    /// and of its known total.
    void handle_peer_progress(
        store_position end_position, std::uint64_t total) noexcept;
    /// Records that the store was restored from an older snapshot and is now in
    /// this epoch.
    /// @param poll_at when this node does its full poll; a different time on
    ///                each node
    void enter_epoch(store_epoch epoch, instant poll_at) noexcept;
    /// Makes `is_behind` true until the pending long poll ends: its connection
    /// may have been lost in the store's outage.
    void distrust_long_poll() noexcept { long_poll_distrusted_ = true; }
    /// Records that the store answers again. The failures so far were due to
    /// its outage and no longer lengthen delays and timeouts.
    void store_recovered() noexcept {
        distrust_long_poll();
        failures_ = 0;
    }
    /// @returns true when a long poll should have returned something by now
    bool is_behind() const noexcept;
    /// Records that a long poll was cancelled because it returned nothing.
    void long_poll_cancelled() noexcept;

    /// @returns the position up to which this node has read
    store_position position() const noexcept { return position_; }
    /// @returns the latest known epoch of the store
    store_epoch epoch() const noexcept { return epoch_; }

private:
    instant next_full_poll_time(unsigned nodes) const;
    bool missed_declarations() const noexcept;
    bool epoch_outdated() const noexcept { return epoch_ > position_.epoch; }

    declaration_poll_settings settings_;
    double random_fraction_;
    store_position position_;
    store_epoch epoch_{};
    instant epoch_poll_at_;
    std::uint64_t known_total_ = 0;
    store_position peer_position_;
    std::uint64_t peer_total_ = 0;
    /// The greatest total of another node for which this node has already done
    /// a full poll.
    std::uint64_t searched_total_ = 0;
    bool full_poll_needed_ = true;
    bool configured_ = false;
    bool long_poll_distrusted_ = false;
    unsigned failures_ = 0;
    unsigned expirations_ = 0;
    instant last_full_poll_at_;
    instant history_stale_until_;
};

} // namespace camphorpoint
