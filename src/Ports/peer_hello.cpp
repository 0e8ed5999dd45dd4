#include "Ports/peer_hello.hpp"

#include "Core/strict_input_archive.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include <sstream>
#include <utility>

namespace camphorpoint {

std::string encode_peer_hello(peer_hello const& hello) {
    using archive_type = cereal::PortableBinaryOutputArchive;
    std::ostringstream out(std::ios::binary);
    archive_type archive(out, archive_type::Options::LittleEndian());
    archive(hello);
    return std::move(out).str();
}

std::optional<peer_hello> decode_peer_hello(std::string_view bytes) {
    if (bytes.size() > largest_hello) {
        return std::nullopt;
    }
    try {
        strict_input_archive archive(bytes);
        peer_hello hello;
        archive(hello);
        archive.require_end();
        if (hello.protocol != peer_protocol || hello.from.id.empty()) {
            return std::nullopt;
        }
        return hello;
    } catch (cereal::Exception const&) {
        return std::nullopt;
    }
}

} // namespace camphorpoint
