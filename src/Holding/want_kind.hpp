#pragma once

#include <cstdint>

namespace camphorpoint {

/// For whom an adapter is wanted; what comes first here is loaded first.
enum class want_kind : std::uint8_t {
    /// Requests wait for it.
    waited_for,
    /// Nobody waits for it yet.
    ahead
};

} // namespace camphorpoint
