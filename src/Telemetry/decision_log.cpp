#include "Telemetry/decision_log.hpp"

#include "Telemetry/event_names.hpp"

#include <fmt/chrono.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <fcntl.h>
#include <iterator>
#include <unistd.h>

namespace camphorpoint {

namespace {

std::int64_t second_of(instant now) {
    return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
        .count();
}

/// @returns the length of the UTF-8 character at the start of a text: RFC 3629,
///          section 4; 0 when there is none
std::size_t character_size(std::string_view text) {
    constexpr unsigned char first_continuation = 0x80;
    constexpr unsigned char last_continuation = 0xBF;
    auto const byte = [&](std::size_t place) {
        return static_cast<unsigned char>(text[place]);
    };
    unsigned char const lead = byte(0);
    if (lead < first_continuation) {
        return 1;
    }
    std::size_t const size = lead >= 0xC2 && lead <= 0xDF   ? 2
                             : lead >= 0xE0 && lead <= 0xEF ? 3
                             : lead >= 0xF0 && lead <= 0xF4 ? 4
                                                            : 0;
    if (size == 0 || text.size() < size) {
        return 0;
    }
    // The second byte excludes overlong forms, surrogates and what is beyond
    // the last character.
    unsigned char const least = lead == 0xE0   ? 0xA0
                                : lead == 0xF0 ? 0x90
                                               : first_continuation;
    unsigned char const most = lead == 0xED   ? 0x9F
                               : lead == 0xF4 ? 0x8F
                                              : last_continuation;
    bool valid = byte(1) >= least && byte(1) <= most;
    for (std::size_t place = 2; place < size; ++place) {
        valid = valid && byte(place) >= first_continuation &&
                byte(place) <= last_continuation;
    }
    return valid ? size : 0;
}

/// RFC 8259, sections 7 and 8.1: a byte that is no UTF-8 becomes a question
/// mark.
void append_escaped(fmt::memory_buffer& into, std::string_view text) {
    constexpr unsigned char first_printable = 0x20;
    while (!text.empty()) {
        char const each = text.front();
        std::size_t const size = character_size(text);
        if (size == 0) {
            into.push_back('?');
        } else if (size > 1) {
            into.append(text.data(), text.data() + size);
        } else if (each == '"' || each == '\\') {
            into.push_back('\\');
            into.push_back(each);
        } else if (static_cast<unsigned char>(each) < first_printable) {
            into.push_back(' ');
        } else {
            into.push_back(each);
        }
        text.remove_prefix(std::max<std::size_t>(size, 1));
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
