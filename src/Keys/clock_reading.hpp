#pragma once

#include "Core/time.hpp"

namespace camphorpoint {

/// Both clocks, read for one event. The calendar clock must be read first: a
/// pause between the two readings then leaves an early calendar time beside a
/// late monotonic time, so that the monotonic time shows that the authority has
/// expired. In the opposite order, an owner that pauses between the readings
/// could accept a key that is newer than the takeover by its successor, and
/// both owners would permit its execution.
struct clock_reading {
    wall_time wall;
    instant now;
};

} // namespace camphorpoint
