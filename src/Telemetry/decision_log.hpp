#pragma once

#include "Core/time.hpp"
#include "Telemetry/log_event.hpp"

#include <fmt/format.h>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace camphorpoint {

/// One line of the log, as a JSON object.
class log_line {
public:
    /// @param code  the event
    /// @param level how serious it is
    explicit log_line(event_code code, log_level level = log_level::info)
        : code_(code)
        , level_(level) {}

    /// Adds a field.
    log_line& with(std::string_view name, std::string_view value);
    log_line& with(std::string_view name, char const* value) {
        return with(name, std::string_view(value));
    }
    template <std::integral Number>
    log_line& with(std::string_view name, Number value) {
        fmt::format_to(fmt::appender(text_), ",\"{}\":{}", name, +value);
        return *this;
    }
    /// Adds a span of time in milliseconds.
    log_line& with(std::string_view name, duration value);

    /// @returns the event
    event_code code() const noexcept { return code_; }
    /// @returns the whole line with its end
    std::string text(wall_time when) const;

private:
    event_code code_;
    log_level level_;
    fmt::memory_buffer text_;
};

/// What bounds a log under load.
struct decision_log_limits {
    /// Lines of one event in a second; those beyond are counted and left out.
    /// Only events of single requests come so often.
    unsigned lines_per_second = 400;
    /// Bytes that wait for a slow reader; lines beyond are counted and left
    /// out.
    std::size_t waiting_bytes = 256U << 10U;
};

/// Writes lines to a file descriptor without ever waiting for its reader.
/// Guards against a full pipe on standard output that would hold up every
/// request: the descriptor is put into non-blocking mode, what it does not take
/// waits within a bound, and what is left out is counted and told.
class decision_log {
public:
    /// @param handle where lines go, such as 1; not closed
    explicit decision_log(int handle, decision_log_limits limits = {});

    /// Takes a line; it is written by the next flush.
    void write(log_line const& line, instant now);
    /// Writes what waits, as far as the reader takes it.
    void flush(instant now);
    /// @returns lines that were left out so far
    std::uint64_t left_out() const noexcept { return left_out_; }

private:
    bool admit(event_code code, instant now);
    void tell_left_out(instant now);

    struct second_count {
        std::int64_t second = 0;
        unsigned lines = 0;
    };

    int handle_;
    decision_log_limits limits_;
    std::string waiting_;
    std::map<event_code, second_count> counts_;
    std::uint64_t left_out_ = 0;
    std::uint64_t told_left_out_ = 0;
    std::int64_t told_second_ = 0;
};

} // namespace camphorpoint
