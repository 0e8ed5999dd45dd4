#pragma once

#include "Serving/peer_message.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// Maximum size of a message in bytes. Both sides refuse longer ones, which
/// limits how much memory a faulty or hostile peer can make a node allocate.
inline constexpr std::size_t max_peer_message_bytes = std::size_t{4} << 20U;

/// Encodes a message in cereal's portable binary form, which is independent of
/// the byte order.
/// @returns the bytes, without framing
std::string encode_peer_message(peer_message const& message);

/// Decodes the result of encode_peer_message. Decoding fails unless it uses all
/// bytes, each enum has a declared value, and no length exceeds the remaining
/// bytes.
/// @param bytes one message, from an untrusted source
/// @returns the message, or nothing when the bytes are not a valid message
std::optional<peer_message> decode_peer_message(std::string_view bytes);

} // namespace camphorpoint
