#include "Ports/event_stream.hpp"

namespace camphorpoint {

namespace {

constexpr std::string_view event_end = "\n\n";

void take_line(std::string_view line, stream_event& event) {
    std::size_t const colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return;
    }
    std::string_view const field = line.substr(0, colon);
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (field == "id") {
        event.id = value;
    } else if (field == "event") {
        event.name = value;
    } else if (field == "data") {
        event.data += event.data.empty() ? "" : "\n";
        event.data += value;
    }
}

} // namespace

std::string write_event(stream_event const& event) {
    std::string text;
    if (!event.id.empty()) {
        text += "id: " + event.id + "\n";
    }
    if (!event.name.empty()) {
        text += "event: " + event.name + "\n";
    }
    return text + "data: " + event.data + "\n\n";
}

void event_stream_reader::push(std::string_view piece) {
    // Lines may also end in CR LF. JSON escapes both, so a CR is never part of
    // the data.
    for (char const each : piece) {
        if (each != '\r') {
            pending_ += each;
        }
    }
}

std::optional<stream_event> event_stream_reader::next() {
    std::size_t const end = pending_.find(event_end, searched_);
    searched_ = 0;
    if (end == std::string::npos) {
        // An end that is split between two pieces begins in the last byte.
        searched_ = pending_.empty() ? 0 : pending_.size() - 1;
        return std::nullopt;
    }
    std::string_view block = std::string_view(pending_).substr(0, end);
    stream_event event;
    while (!block.empty()) {
        std::size_t const newline = block.find('\n');
        take_line(block.substr(0, newline), event);
        block =
            newline == std::string_view::npos ? "" : block.substr(newline + 1);
    }
    pending_.erase(0, end + event_end.size());
    return event;
}

} // namespace camphorpoint
