#include "Serving/peer_codec.hpp"

#include "Core/strict_input_archive.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace camphorpoint {

template <>
struct last_value_of<urgency> {
    static constexpr urgency value = urgency::background;
};
template <>
struct last_value_of<resource_kind> {
    static constexpr resource_kind value = resource_kind::key_shard;
};
template <>
struct last_value_of<key_verdict> {
    static constexpr key_verdict value = key_verdict::refused;
};
template <>
struct last_value_of<outcome> {
    static constexpr outcome value = outcome::unknown;
};
template <>
struct last_value_of<verdict> {
    static constexpr verdict value = verdict::not_a_change;
};
template <>
struct last_value_of<key_state> {
    static constexpr key_state value = key_state::not_run;
};
template <>
struct last_value_of<endpoint_kind> {
    static constexpr endpoint_kind value = endpoint_kind::service;
};
template <>
struct last_value_of<reason> {
    static constexpr reason value = reason::internal_error;
};

std::string encode_peer_message(peer_message const& message) {
    std::ostringstream out(std::ios::binary);
    using archive_type = cereal::PortableBinaryOutputArchive;
    archive_type archive(out, archive_type::Options::LittleEndian());
    archive(message);
    return std::move(out).str();
}

std::optional<peer_message> decode_peer_message(std::string_view bytes) {
    if (bytes.size() > max_peer_message_bytes) {
        return std::nullopt;
    }
    try {
        strict_input_archive archive(bytes);
        peer_message message;
        archive(message);
        archive.require_end();
        return message;
    } catch (cereal::Exception const&) {
        return std::nullopt;
    }
}

} // namespace camphorpoint
