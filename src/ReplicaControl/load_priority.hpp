#pragma once

#include <cstdint>
#include <string_view>

namespace camphorpoint {

/// For whom an adapter is wanted; what comes first here is loaded first.
enum class load_priority : std::uint8_t {
    /// Requests wait for it.
    demand,
    /// Nobody waits for it yet.
    prefetch
};

/// @returns its name in logs
std::string_view to_string(load_priority priority);

} // namespace camphorpoint
