#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace standins {

/// What an engine knows of itself at one moment.
struct engine_snapshot {
    camphorpoint::instant at;
    std::uint64_t incarnation = 1;
    std::size_t running = 0;
    std::size_t queued = 0;
    std::vector<camphorpoint::adapter_ref> resident;
    std::vector<camphorpoint::adapter_ref> loading;
    std::vector<camphorpoint::adapter_ref> in_use;
};

/// Keeps snapshots for as long as the reports lag.
class load_reports {
public:
    explicit load_reports(std::chrono::milliseconds lag)
        : lag_(lag) {}

    /// Takes the newest snapshot.
    void add(engine_snapshot snapshot);
    /// @returns the newest snapshot that is at least as old as the lag, the
    /// oldest when there is none
    engine_snapshot const& read(camphorpoint::instant now);
    /// @returns true when a snapshot has been taken
    bool any() const noexcept { return !snapshots_.empty(); }

private:
    std::chrono::milliseconds lag_;
    std::deque<engine_snapshot> snapshots_;
};

/// @returns the report's JSON text, with its age
std::string
report_text(engine_snapshot const& snapshot, camphorpoint::instant now);

} // namespace standins
