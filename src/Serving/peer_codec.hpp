#pragma once

#include "Serving/peer_message.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// A message longer than this is refused by both sides: it bounds what a
/// broken or hostile peer can make a node allocate.
inline constexpr std::size_t max_peer_message_bytes = std::size_t{4} << 20U;

/// Encodes a message in cereal's portable binary form, which reads the same
/// on machines of either byte order.
/// @returns the bytes, without any frame around them
std::string encode_peer_message(peer_message const& message);

/// Decodes what encode_peer_message wrote. Every byte must be used, each enum
/// must hold a value that it names, and no length may exceed the bytes left.
/// @param bytes one message, of any origin
/// @returns the message, or nothing when the bytes are not one
std::optional<peer_message> decode_peer_message(std::string_view bytes);

} // namespace camphorpoint
