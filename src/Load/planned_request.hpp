#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace camphorpoint {

/// One request that the load tool will make.
struct planned_request {
    /// Its place in the plan, from 0.
    std::uint64_t number = 0;
    /// When it is made, from the start of the run.
    std::chrono::microseconds at{};
    profile wanted;
    /// Unlike that of any other request of the run, so that the stand-ins'
    /// records tell which request they ran.
    std::string prompt;
    std::uint32_t tokens = 0;
    /// Which entry node it goes to: an index, taken modulo their number.
    std::uint32_t entry_node = 0;
    /// True when it bears an idempotency key.
    bool keyed = false;
    /// When the caller makes the same request again through another node, as
    /// on a poor network; only of keyed ones.
    std::optional<std::chrono::milliseconds> repeat_after;
    /// After how many tokens the caller's connection breaks; it resumes.
    std::optional<std::uint32_t> break_after;
    /// How long the caller waits before it reads each piece.
    std::chrono::milliseconds slowness{};

    bool to_engine() const noexcept {
        return wanted.kind == endpoint_kind::engine;
    }
};

} // namespace camphorpoint
