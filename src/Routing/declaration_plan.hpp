#pragma once

#include "Core/store_place.hpp"
#include "Core/time.hpp"

#include <chrono>
#include <cstdint>

namespace camphorpoint {

/// The times by which a node reads what the operator declares.
struct declaration_times {
    /// A reading is given up when it is silent for so long. Each failure in a
    /// row doubles it, as a store that many read at once answers late: with a
    /// fixed bound all give up and ask again, and nobody is answered.
    std::chrono::milliseconds silence{800};
    std::chrono::milliseconds longest_silence{3'200};
    /// Between a failed reading and the next. Doubles likewise.
    std::chrono::milliseconds retry{250};
    std::chrono::milliseconds longest_retry{1'000};
    /// Between two readings while there is no configuration at all, which
    /// stands some seconds before the first request comes.
    std::chrono::milliseconds first_pause{500};
    /// Of all nodes together one reads everything anew so often, in case that a
    /// record was missed without a sign; it tells the others how much it knows.
    std::chrono::milliseconds check{12'000};
    /// After the store has forgotten its history its answers may be seconds
    /// old (5.5 s were seen): for so long a node reads everything again, so
    /// often.
    std::chrono::milliseconds doubt{5'000};
    std::chrono::milliseconds doubt_check{3'000};
};

/// One reading of what the operator declares.
struct declaration_reading {
    /// The newest record of each key; else what was written from a place on.
    bool whole = true;
    store_position from;
    /// The store may hold its answer back until there is something new.
    bool waits = false;
    std::chrono::milliseconds pause{0};
    std::chrono::milliseconds silence{0};
};

/// Decides how a node reads what the operator declares: when it waits for the
/// next record, when it reads everything, and when a wait is no longer trusted.
/// A node has one reading at a time.
class declaration_plan {
public:
    /// @param times by which it reads
    /// @param draw  0 to 1, another one on each node
    explicit declaration_plan(declaration_times times = {}, double draw = 0.5);

    /// @param nodes how many nodes share the checks
    /// @returns the reading to begin now
    declaration_reading next(instant now, unsigned nodes) const;
    /// A reading has been answered.
    /// @param place where what is written next will stand
    void answered(
        declaration_reading const& asked, store_position place, instant now);
    /// A reading has brought nothing.
    void failed();
    /// The place to read from is gone from the store's history.
    void forgotten(instant now);
    /// There is a configuration.
    void note_configured() noexcept { configured_ = true; }
    /// How much is known: the sum of all versions, which only rises.
    void note_known(std::uint64_t total) noexcept { known_ = total; }

    /// Another node has read so far, and knows so much.
    void heard(store_position place, std::uint64_t total) noexcept;
    /// The store has come back from an older copy, in this era.
    /// @param at when this node reads everything, another time on each node
    void new_era(store_epoch epoch, instant at) noexcept;
    /// The connection that a wait uses may have died with the store's outage.
    void distrust_wait() noexcept { wait_distrusted_ = true; }
    /// The store answers again: the failures were its outage's.
    void store_returned() noexcept {
        distrust_wait();
        failures_ = 0;
    }
    /// @returns true when a wait should have brought something by now
    bool behind() const noexcept;
    /// A wait was ended, since it brought nothing.
    void interrupted() noexcept;

    /// @returns how far has been read
    store_position place() const noexcept { return place_; }
    /// @returns the era of the store that has been heard of last
    store_epoch epoch() const noexcept { return era_; }

private:
    instant check_due(unsigned nodes) const;
    bool misses_something() const noexcept;
    bool outdated() const noexcept { return era_ > place_.epoch; }

    declaration_times times_;
    double draw_;
    store_position place_;
    store_epoch era_{};
    instant era_read_at_;
    std::uint64_t known_ = 0;
    store_position told_place_;
    std::uint64_t told_total_ = 0;
    /// What others know has been looked for up to this total.
    std::uint64_t looked_for_ = 0;
    bool whole_ = true;
    bool configured_ = false;
    bool wait_distrusted_ = false;
    /// The last reading was answered, and there is no configuration yet.
    bool empty_ = false;
    unsigned failures_ = 0;
    unsigned forgettings_ = 0;
    instant read_whole_;
    instant doubted_until_;
};

} // namespace camphorpoint
