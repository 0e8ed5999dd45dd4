#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <cstdint>
#include <string>

namespace standins {

/// Where a run stands.
enum class run_state : std::uint8_t { waiting, running, finished, cancelled };

/// @returns the state's code in execution records
constexpr char const* to_string(run_state state) noexcept {
    switch (state) {
    case run_state::waiting:
        return "waiting";
    case run_state::running:
        return "running";
    case run_state::finished:
        return "finished";
    case run_state::cancelled:
        return "cancelled";
    }
    return "";
}

/// What a caller asks an engine to run.
struct run_order {
    std::string request;
    /// The idempotency key, empty when the caller sent none.
    std::string key;
    camphorpoint::adapter_ref adapter;
    /// Digest of the messages.
    std::uint64_t prompt = 0;
    camphorpoint::urgency priority = camphorpoint::urgency::normal;
    std::uint32_t tokens = 0;
};

/// One run of one request.
struct engine_run {
    run_order order;
    run_state state = run_state::waiting;
    std::uint32_t produced = 0;
    camphorpoint::instant taken;
    /// When it joined the batch.
    camphorpoint::instant started;
    camphorpoint::instant ended;
    /// Connections that read its stream.
    std::uint32_t readers = 0;
    camphorpoint::instant last_reader_left;

    /// @returns true while the run needs its adapter
    bool active() const noexcept {
        return state == run_state::waiting || state == run_state::running;
    }
};

} // namespace standins
