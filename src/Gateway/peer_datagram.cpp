#include "Gateway/peer_datagram.hpp"

#include "Core/strict_input_archive.hpp"

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <sstream>

namespace camphorpoint {

std::uint32_t whole_milliseconds(duration time) {
    using std::chrono::milliseconds;
    auto const count = std::chrono::duration_cast<milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, count));
}

bool is_probe(std::string_view bytes) noexcept {
    // A probe begins with its kind, a small number of four bytes, the least
    // first. A word begins with a byte for the order of its numbers, and after
    // it the format, whose first byte is never 0.
    constexpr std::size_t kind_bytes = 4;
    std::size_t const left = bytes.find_first_not_of('\0', 1);
    return bytes.size() > kind_bytes && left >= kind_bytes;
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
        // Bytes of another program or another format: as good as lost.
        return std::nullopt;
    }
    if (message.format != peer_datagram::current_format) {
        return std::nullopt;
    }
    return message;
}

} // namespace camphorpoint
