#pragma once

#include <cstdint>
#include <string_view>

namespace camphorpoint {

/// Why an adapter load is requested. Lower values are loaded first.
enum class load_priority : std::uint8_t {
    /// Requests of callers wait for the adapter.
    demand,
    /// No request waits for the adapter yet.
    prefetch
};

/// @returns the name used in logs
std::string_view to_string(load_priority priority);

} // namespace camphorpoint
