#pragma once

#include "Core/store_position.hpp"
#include "Core/time.hpp"

#include <chrono>
#include <cstdint>

namespace camphorpoint {

/// The times by which a node reads what the operator declares.
struct declaration_poll_settings {
    /// A reading is given up when it is silent for so long. Each failure in a
    /// row doubles it, as a store that many read at once answers late: with a
    /// fixed bound all give up and ask again, and nobody is answered.
    std::chrono::milliseconds response_timeout{800};
    std::chrono::milliseconds max_response_timeout{3'200};
    /// Between a failed reading and the next. Doubles likewise.
    std::chrono::milliseconds retry_delay{250};
    std::chrono::milliseconds max_retry_delay{1'000};
    /// Between two readings while there is no configuration at all, which
    /// stands some seconds before the first request comes.
    std::chrono::milliseconds unconfigured_delay{500};
    /// Of all nodes together one reads everything anew so often, in case that a
    /// record was missed without a sign; it tells the others how much it knows.
    std::chrono::milliseconds full_poll_interval{12'000};
    /// After the store has forgotten its history its answers may be seconds
    /// old (5.5 s were seen): for so long a node reads everything again, so
    /// often.
    std::chrono::milliseconds stale_history_period{5'000};
    std::chrono::milliseconds stale_history_poll_interval{3'000};
};

/// One reading of what the operator declares.
struct declaration_poll {
    /// The newest record of each key; else what was written from a place on.
    bool full = true;
    store_position from;
    /// The store may hold its answer back until there is something new.
    bool long_poll = false;
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds response_timeout{0};
};

/// Decides how a node reads what the operator declares: when it waits for the
/// next record, when it reads everything, and when a wait is no longer trusted.
/// A node has one reading at a time.
class declaration_poll_schedule {
public:
    /// @param times by which it reads
    /// @param draw  0 to 1, another one on each node
    explicit declaration_poll_schedule(
        declaration_poll_settings settings = {}, double random_fraction = 0.5);

    /// @param nodes how many nodes share the checks
    /// @returns the reading to begin now
    declaration_poll next_poll(instant now, unsigned nodes) const;
    /// A reading has been answered.
    /// @param place where what is written next will stand
    void poll_succeeded(
        declaration_poll const& poll, store_position end_position, instant now);
    /// A reading has brought nothing.
    void poll_failed();
    /// The place to read from is gone from the store's history.
    void position_expired(instant now);
    /// There is a configuration.
    void mark_configured() noexcept { configured_ = true; }
    /// How much is known: the sum of all versions, which only rises.
    void set_known_total(std::uint64_t total) noexcept { known_total_ = total; }

    /// Another node has read so far, and knows so much.
    void handle_peer_progress(
        store_position end_position, std::uint64_t total) noexcept;
    /// The store has come back from an older copy, in this era.
    /// @param at when this node reads everything, another time on each node
    void enter_epoch(store_epoch epoch, instant poll_at) noexcept;
    /// The connection that a wait uses may have died with the store's outage.
    void distrust_long_poll() noexcept { long_poll_distrusted_ = true; }
    /// The store answers again: the failures were its outage's.
    void store_recovered() noexcept {
        distrust_long_poll();
        failures_ = 0;
    }
    /// @returns true when a wait should have brought something by now
    bool is_behind() const noexcept;
    /// A wait was ended, since it brought nothing.
    void long_poll_cancelled() noexcept;

    /// @returns how far has been read
    store_position position() const noexcept { return position_; }
    /// @returns the era of the store that has been heard of last
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
    /// What others know has been looked for up to this total.
    std::uint64_t searched_total_ = 0;
    bool full_poll_needed_ = true;
    bool configured_ = false;
    bool long_poll_distrusted_ = false;
    /// The last reading was answered, and there is no configuration yet.
    bool answered_empty_ = false;
    unsigned failures_ = 0;
    unsigned expirations_ = 0;
    instant last_full_poll_at_;
    instant history_stale_until_;
};

} // namespace camphorpoint
