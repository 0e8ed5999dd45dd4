#pragma once

#include <cstdint>

namespace camphorpoint {

/// For whom an adapter is wanted; what comes first here is loaded first.
enum class want_kind : std::uint8_t {
    /// Requests that will be in time if it comes as forecast.
    in_time,
    /// Requests that will be late.
    late,
    /// Nobody waits for it yet.
    ahead
};

} // namespace camphorpoint
