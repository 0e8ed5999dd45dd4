#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <rapidcheck.h>
#include <string_view>
#include <vector>

namespace camphorpoint::fuzz {

/// What a case does to the cluster next. Each name says it; `world` does it.
enum class command_kind : std::uint8_t {
    request,
    keyed_request,
    repeat_key,
    caller_leaves,
    apply,
    conflicting_apply,
    repeat_change,
    pause,
    go_on,
    kill,
    start,
    cut_off,
    heal,
    lose_messages,
    delay_messages,
    log_down,
    log_loses_answers,
    log_up,
    loads_fail,
    orders_unanswered,
    engine_well,
    restart_engine,
    cut_streams,
    engine_leaves,
    engine_returns,
    stop
};

inline constexpr std::array<std::string_view, 26> command_names{
    "request",
    "keyed_request",
    "repeat_key",
    "caller_leaves",
    "apply",
    "conflicting_apply",
    "repeat_change",
    "pause",
    "go_on",
    "kill",
    "start",
    "cut_off",
    "heal",
    "lose_messages",
    "delay_messages",
    "log_down",
    "log_loses_answers",
    "log_up",
    "loads_fail",
    "orders_unanswered",
    "engine_well",
    "restart_engine",
    "cut_streams",
    "engine_leaves",
    "engine_returns",
    "stop"};

/// One step of a case. The numbers pick among what there is.
struct command {
    command_kind kind = command_kind::request;
    /// Which node or engine.
    std::uint32_t at = 0;
    /// Which profile, earlier request or change.
    std::uint32_t which = 0;
    /// Time that passes behind it, in milliseconds.
    std::uint32_t pause = 0;
};

/// Written so that a case can be pasted into a test.
inline std::ostream& operator<<(std::ostream& out, command const& value) {
    return out << "{command_kind::"
               << command_names[static_cast<std::size_t>(value.kind)] << ", "
               << value.at << ", " << value.which << ", " << value.pause << "}";
}

/// @returns a generator of one command; requests come as often as all faults
inline rc::Gen<command> any_command() {
    using enum command_kind;
    auto const kind = rc::gen::weightedOneOf<command_kind>(
        {{3, rc::gen::just(request)},
         {3, rc::gen::just(keyed_request)},
         {3, rc::gen::just(repeat_key)},
         {2, rc::gen::just(apply)},
         {1, rc::gen::elementOf(std::vector<command_kind>{
                 caller_leaves, conflicting_apply, repeat_change})},
         {12, rc::gen::elementOf(std::vector<command_kind>{
                  pause, go_on, kill, start, cut_off, heal, lose_messages,
                  delay_messages, log_down, log_loses_answers, log_up,
                  loads_fail, orders_unanswered, engine_well, restart_engine,
                  cut_streams, engine_leaves, engine_returns, stop})}});
    return rc::gen::build<command>(
        rc::gen::set(&command::kind, kind),
        rc::gen::set(&command::at, rc::gen::inRange<std::uint32_t>(0, 6)),
        rc::gen::set(&command::which, rc::gen::inRange<std::uint32_t>(0, 6)),
        rc::gen::set(
            &command::pause, rc::gen::elementOf(std::vector<std::uint32_t>{
                                 0, 1, 20, 150, 400, 1'500, 6'000, 12'000})));
}

} // namespace camphorpoint::fuzz
