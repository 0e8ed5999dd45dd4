#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// One server-sent event.
struct stream_event {
    std::string id;
    std::string name;
    std::string data;
};

/// Writes an event as it stands on the wire.
/// Source: WHATWG HTML, section 9.2, "Server-sent events".
/// @returns its lines and the empty line that ends it
std::string write_event(stream_event const& event);

/// Splits a stream of pieces into events.
class event_stream_reader {
public:
    /// Takes the next piece, cut anywhere.
    void push(std::string_view piece);
    /// @returns the next whole event, or nothing until more has come
    std::optional<stream_event> next();
    /// @returns how many bytes wait for the rest of their event; a user of the
    /// reader must bound it
    std::size_t pending_bytes() const noexcept { return pending_.size(); }

private:
    std::string pending_;
    /// No event ends before this place.
    std::size_t searched_ = 0;
};

} // namespace camphorpoint
