#pragma once

#include "Core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// A node in one run of its process.
struct peer_identity {
    node_id id;
    /// Grows with each restart.
    std::uint64_t incarnation = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(id, incarnation);
    }
};

/// The first message of a connection between nodes.
struct peer_hello {
    /// Tells other protocols and other versions of this one apart.
    std::uint32_t protocol = 0;
    peer_identity from;
    /// Whom the caller means. An address that a new instance has taken over
    /// would otherwise get its predecessor's messages.
    node_id to;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(protocol, from, to);
    }
};

/// The protocol of this version.
inline constexpr std::uint32_t peer_protocol = 0x43500001;
/// No hello is longer.
inline constexpr std::size_t largest_hello = 1'024;

/// @returns the hello's bytes
std::string encode_peer_hello(peer_hello const& hello);
/// @param bytes of any origin
/// @returns the hello, or nothing when the bytes are none of this protocol
std::optional<peer_hello> decode_peer_hello(std::string_view bytes);

} // namespace camphorpoint
