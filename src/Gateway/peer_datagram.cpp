#include "Gateway/peer_datagram.hpp"

#include "Core/strict_input_archive.hpp"

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <sstream>

namespace camphorpoint {

template <>
struct last_value_of<gate_message_kind> {
    static constexpr gate_message_kind value = gate_message_kind::ended;
};

template <>
struct last_value_of<health_signal> {
    static constexpr health_signal value = health_signal::rejected;
};

template <>
struct last_value_of<replica_links> {
    static constexpr replica_links value = replica_links::cut;
};

template <>
struct last_value_of<usage_message_kind> {
    static constexpr usage_message_kind value = usage_message_kind::returned;
};

template <>
struct last_value_of<origin_state> {
    static constexpr origin_state value = origin_state::ambiguous;
};

template <>
struct last_value_of<version_knowledge> {
    static constexpr version_knowledge value = version_knowledge::several;
};

std::uint32_t clamped_milliseconds(duration time) {
    using std::chrono::milliseconds;
    auto const count = std::chrono::duration_cast<milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, count));
}

std::string encode(peer_datagram const& message) {
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    return stream.str();
}

std::optional<peer_datagram> decode_peer_datagram(std::string_view bytes) {
    peer_datagram message;
    try {
        strict_input_archive archive(bytes);
        archive(message);
        archive.require_end();
    } catch (std::exception const&) {
        // Bytes of another program or another format are ignored like a lost
        // datagram.
        return std::nullopt;
    }
    if (message.format != peer_datagram::current_format) {
        return std::nullopt;
    }
    return message;
}

} // namespace camphorpoint
