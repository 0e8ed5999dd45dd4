#include "Delivery/event_relay.hpp"

#include <charconv>
#include <optional>

namespace camphorpoint {

namespace {

/// An event holds a few tokens; a longer one is no event.
constexpr std::size_t longest_event = 256U << 10U;

/// @returns the number in the event's id line, if it has one
std::optional<std::uint64_t> number_of(std::string_view event) {
    constexpr std::string_view name = "id:";
    std::size_t start = 0;
    while (start < event.size()) {
        std::size_t const end = std::min(event.find('\n', start), event.size());
        std::string_view line = event.substr(start, end - start);
        start = end + 1;
        if (!line.starts_with(name)) {
            continue;
        }
        line.remove_prefix(name.size());
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t number = 0;
        auto const [stop, error] =
            std::from_chars(line.data(), line.data() + line.size(), number);
        if (error == std::errc()) {
            return number;
        }
    }
    return std::nullopt;
}

/// @returns the length of the first whole event, its empty line included; 0
///          when there is none yet
std::size_t whole_event(std::string_view text) {
    std::size_t const plain = text.find("\n\n");
    std::size_t const returns = text.find("\r\n\r\n");
    std::size_t const none = std::string_view::npos;
    if (plain == none && returns == none) {
        return 0;
    }
    return plain < returns ? plain + 2 : returns + 4;
}

} // namespace

void event_relay::begin_run() {
    pending_.clear();
}

relay_verdict event_relay::pass(std::string_view event, std::string& out) {
    auto const number = number_of(event);
    if (number && *number <= last_) {
        return relay_verdict::ok;
    }
    if (number && passed_ && *number != last_ + 1) {
        return relay_verdict::broken;
    }
    last_ = number.value_or(last_);
    passed_ = true;
    out.append(event);
    return relay_verdict::ok;
}

relay_verdict event_relay::push(std::string_view piece, std::string& out) {
    pending_.append(piece);
    std::string_view rest = pending_;
    while (std::size_t const length = whole_event(rest)) {
        if (pass(rest.substr(0, length), out) == relay_verdict::broken) {
            return relay_verdict::broken;
        }
        rest.remove_prefix(length);
    }
    pending_.erase(0, pending_.size() - rest.size());
    return pending_.size() > longest_event ? relay_verdict::broken
                                           : relay_verdict::ok;
}

} // namespace camphorpoint
