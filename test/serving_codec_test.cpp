#include "Serving/peer_codec.hpp"

#include <doctest/doctest.h>

namespace camphorpoint {

namespace {

peer_message example_grant_request() {
    grant_request request;
    request.request = request_id("r-1");
    request.attempt = 2;
    request.replica = endpoint_id("engine-1");
    request.adapter = {adapter_id("audit"), 3};
    request.how_urgent = urgency::high;
    request.time_left = std::chrono::milliseconds(1'500);
    return request;
}

peer_message example_heartbeat() {
    grant_heartbeat heartbeat;
    grant_in_use use;
    use.request = request_id("r-1");
    use.replica = endpoint_id("engine-1");
    use.sent = true;
    heartbeat.grants = {use, use};
    return heartbeat;
}

} // namespace

// Guards against a node that crashes or allocates gigabytes when a peer of
// another version, or a foreign program, sends it arbitrary bytes. This happens
// when the decoder trusts lengths, booleans or enumerations of the message.
TEST_CASE("peer messages decode strictly") {
    std::string const request = encode_peer_message(example_grant_request());
    std::string const heartbeat = encode_peer_message(example_heartbeat());

    SUBCASE("an encoded message decodes to an equal message") {
        auto const back = decode_peer_message(request);
        REQUIRE(back.has_value());
        CHECK(encode_peer_message(*back) == request);
        REQUIRE(std::holds_alternative<grant_request>(*back));
        CHECK(std::get<grant_request>(*back).how_urgent == urgency::high);
        CHECK(decode_peer_message(heartbeat).has_value());
    }

    SUBCASE("truncated messages and messages with extra bytes are refused") {
        for (std::size_t length = 0; length < heartbeat.size(); ++length) {
            CHECK_FALSE(decode_peer_message(heartbeat.substr(0, length)));
        }
        CHECK_FALSE(decode_peer_message(heartbeat + '\0'));
    }

    SUBCASE("a length that exceeds the message is refused") {
        // Byte 0 is the byte order and bytes 1 to 4 the index of the message
        // type. The length of the vector follows.
        std::string oversized = heartbeat;
        oversized.replace(5, 8, std::string(6, '\xff') + std::string(2, '\0'));
        CHECK_FALSE(decode_peer_message(oversized));
    }

    SUBCASE("an undeclared value of a boolean or enumeration is refused") {
        std::string malformed = heartbeat;
        malformed.back() = '\2';
        CHECK_FALSE(decode_peer_message(malformed));
        grant_refused refused;
        refused.why = static_cast<reason>(10'000);
        CHECK_FALSE(decode_peer_message(encode_peer_message(refused)));
    }

    SUBCASE("an unknown message type is refused") {
        std::string malformed = request;
        malformed[1] = '\x7f';
        CHECK_FALSE(decode_peer_message(malformed));
        malformed.replace(1, 4, "\xff\xff\xff\xff");
        CHECK_FALSE(decode_peer_message(malformed));
    }

    SUBCASE("any accepted bytes are the only encoding of their message") {
        for (std::size_t at = 0; at < heartbeat.size(); ++at) {
            for (int value = 0; value < 256; ++value) {
                std::string bytes = heartbeat;
                bytes[at] = static_cast<char>(value);
                auto const back = decode_peer_message(bytes);
                bool const one_form =
                    !back || encode_peer_message(*back) == bytes;
                REQUIRE(one_form);
            }
        }
    }
}

} // namespace camphorpoint
