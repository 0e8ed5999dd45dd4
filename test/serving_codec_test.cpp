#include "Serving/peer_codec.hpp"

#include <doctest/doctest.h>

namespace camphorpoint {

namespace {

peer_message example_ask() {
    grant_request ask;
    ask.request = request_id("r-1");
    ask.attempt = 2;
    ask.replica = endpoint_id("engine-1");
    ask.adapter = {adapter_id("audit"), 3};
    ask.how_urgent = urgency::high;
    ask.time_left = std::chrono::milliseconds(1'500);
    return ask;
}

peer_message example_heartbeat() {
    grant_heartbeat beat;
    grant_in_use use;
    use.request = request_id("r-1");
    use.replica = endpoint_id("engine-1");
    use.sent = true;
    beat.grants = {use, use};
    return beat;
}

} // namespace

// What one would see: a node dies, or takes gigabytes, when a peer of another
// version or a stray program sends it bytes. The cause would be a decoder that
// believes lengths, truth values or enumerations from the wire.
TEST_CASE("peer messages decode strictly") {
    std::string const ask = encode_peer_message(example_ask());
    std::string const beat = encode_peer_message(example_heartbeat());

    SUBCASE("what was encoded comes back") {
        auto const back = decode_peer_message(ask);
        REQUIRE(back.has_value());
        CHECK(encode_peer_message(*back) == ask);
        REQUIRE(std::holds_alternative<grant_request>(*back));
        CHECK(std::get<grant_request>(*back).how_urgent == urgency::high);
        CHECK(decode_peer_message(beat).has_value());
    }

    SUBCASE("a message that ends early or goes on too long is refused") {
        for (std::size_t length = 0; length < beat.size(); ++length) {
            CHECK_FALSE(decode_peer_message(beat.substr(0, length)));
        }
        CHECK_FALSE(decode_peer_message(beat + '\0'));
    }

    SUBCASE("a length far beyond the bytes is refused at once") {
        // Byte 0 is the byte order, 1 to 4 the kind, then the vector's length.
        std::string huge = beat;
        huge.replace(5, 8, std::string(6, '\xff') + std::string(2, '\0'));
        CHECK_FALSE(decode_peer_message(huge));
    }

    SUBCASE("a truth value or an enumeration without a name is refused") {
        std::string odd = beat;
        odd.back() = '\2';
        CHECK_FALSE(decode_peer_message(odd));
        grant_refused refused;
        refused.why = static_cast<reason>(10'000);
        CHECK_FALSE(decode_peer_message(encode_peer_message(refused)));
    }

    SUBCASE("a kind that does not exist is refused") {
        std::string odd = ask;
        odd[1] = '\x7f';
        CHECK_FALSE(decode_peer_message(odd));
        odd.replace(1, 4, "\xff\xff\xff\xff");
        CHECK_FALSE(decode_peer_message(odd));
    }

    SUBCASE("any bytes give a message or an error, and one form per message") {
        for (std::size_t at = 0; at < beat.size(); ++at) {
            for (int value = 0; value < 256; ++value) {
                std::string bytes = beat;
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
