#pragma once

#include <cstdint>
#include <string_view>

namespace camphorpoint {

/// For whom an adapter is wanted; what comes first here is loaded first.
enum class want_kind : std::uint8_t {
    /// Requests wait for it.
    waited_for,
    /// Nobody waits for it yet.
    ahead
};

/// @returns its name in logs
std::string_view to_string(want_kind kind);

} // namespace camphorpoint
