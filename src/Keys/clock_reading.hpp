#pragma once

#include "Core/time.hpp"

namespace camphorpoint {

/// Both clocks, read for one event. The calendar clock must be read first: a
/// pause between the two readings then leaves an old calendar time beside a
/// late monotonic time, so that a lapsed authority is noticed. Read the other
/// way round, a paused owner could take a key that is newer than its
/// successor's takeover, and both would let it run.
struct clock_reading {
    wall_time wall;
    instant now;
};

} // namespace camphorpoint
