#include "Membership/probe_message.hpp"

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <exception>
#include <sstream>

namespace camphorpoint {

namespace {

/// Checks that each update has a known kind: cereal reads an enum as a plain
/// integer and accepts any value, also from a hostile sender.
bool kinds_are_known(std::vector<membership_update> const& updates) {
    for (membership_update const& each : updates) {
        if (each.kind > update_kind::endpoint_leaving) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string encode_probe(probe_message const& message) {
    std::ostringstream stream;
    cereal::BinaryOutputArchive archive(stream);
    archive(message);
    return stream.str();
}

std::optional<probe_message> decode_probe(std::string_view datagram) {
    if (datagram.size() > max_datagram_bytes) {
        return std::nullopt;
    }
    probe_message result;
    try {
        std::istringstream stream{std::string(datagram)};
        cereal::BinaryInputArchive archive(stream);
        // cereal allocates memory for the length that a datagram states, and
        // throws if that fails or if fewer bytes are present.
        archive(result);
    } catch (std::exception const&) {
        return std::nullopt;
    }
    auto const known = [](auto const& each) {
        if constexpr (requires { each.updates; }) {
            return kinds_are_known(each.updates);
        }
        return true;
    };
    // Trailing bytes, or bytes that differ when the message is encoded again,
    // mean that the sender uses another format.
    if (!std::visit(known, result) || encode_probe(result) != datagram) {
        return std::nullopt;
    }
    return result;
}

} // namespace camphorpoint
