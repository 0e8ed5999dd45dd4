#include "Telemetry/decision_log.hpp"

#include "Telemetry/event_names.hpp"

#include <fmt/chrono.h>

#include <chrono>
#include <fcntl.h>
#include <iterator>
#include <unistd.h>

namespace camphorpoint {

namespace {

std::int64_t second_of(instant now) {
    return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
        .count();
}

/// RFC 8259, section 7. Bytes above 127 are left as they are.
void append_escaped(fmt::memory_buffer& into, std::string_view text) {
    constexpr unsigned char first_printable = 0x20;
    for (char const each : text) {
        if (each == '"' || each == '\\') {
            into.push_back('\\');
            into.push_back(each);
        } else if (static_cast<unsigned char>(each) < first_printable) {
            into.push_back(' ');
        } else {
            into.push_back(each);
        }
    }
}

} // namespace

log_line& log_line::with(std::string_view name, std::string_view value) {
    fmt::format_to(fmt::appender(text_), ",\"{}\":\"", name);
    append_escaped(text_, value);
    text_.push_back('"');
    return *this;
}

log_line& log_line::with(std::string_view name, duration value) {
    std::chrono::duration<double, std::milli> const time = value;
    fmt::format_to(fmt::appender(text_), ",\"{}\":{:.1f}", name, time.count());
    return *this;
}

std::string log_line::text(wall_time when) const {
    auto const second = std::chrono::floor<std::chrono::seconds>(when);
    return fmt::format(
        "{{\"time\":\"{:%Y-%m-%dT%H:%M:%S}.{:03}Z\",\"level\":\"{}\","
        "\"event\":{},\"name\":\"{}\"{}}}\n",
        fmt::gmtime(std::chrono::system_clock::to_time_t(second)),
        (when - second).count(), to_string(level_),
        static_cast<unsigned>(code_), to_string(code_),
        std::string_view(text_.data(), text_.size()));
}

decision_log::decision_log(int handle, decision_log_limits limits)
    : handle_(handle)
    , limits_(limits) {
    int const flags = ::fcntl(handle_, F_GETFL);
    if (flags >= 0) {
        ::fcntl(handle_, F_SETFL, flags | O_NONBLOCK);
    }
}

bool decision_log::admit(event_code code, instant now) {
    second_count& count = counts_[code];
    std::int64_t const second = second_of(now);
    if (count.second != second) {
        count = {second, 0};
    }
    return ++count.lines <= limits_.lines_per_second;
}

void decision_log::write(log_line const& line, instant now) {
    if (!admit(line.code(), now)) {
        ++left_out_;
        return;
    }
    std::string const text = line.text(wall_now());
    if (waiting_.size() + text.size() > limits_.waiting_bytes) {
        ++left_out_;
        return;
    }
    waiting_ += text;
}

void decision_log::tell_left_out(instant now) {
    std::int64_t const second = second_of(now);
    if (left_out_ == told_left_out_ || second == told_second_) {
        return;
    }
    log_line line(event_code::lines_left_out, log_level::warning);
    line.with("lines", left_out_ - told_left_out_);
    waiting_ += line.text(wall_now());
    told_left_out_ = left_out_;
    told_second_ = second;
}

void decision_log::flush(instant now) {
    tell_left_out(now);
    while (!waiting_.empty()) {
        ssize_t const written =
            ::write(handle_, waiting_.data(), waiting_.size());
        if (written <= 0) {
            // A reader that takes nothing now may take it at the next flush.
            return;
        }
        waiting_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace camphorpoint
