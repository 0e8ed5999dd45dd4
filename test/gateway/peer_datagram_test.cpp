#include "Gateway/peer_datagram.hpp"

#include <Camphorpoint/Membership>

#include <doctest/doctest.h>

#include <vector>

namespace camphorpoint {

// Words and probes come by one socket. A probe that is taken for a word is
// lost, and a node whose probes are all lost is held for dead.
TEST_CASE("a probe is told from a word") {
    node_id const self("10.0.0.1:7380");
    probe question;
    question.from = self;
    probe_ack answer;
    answer.from = self;
    probe_request request;
    request.from = self;
    std::vector<probe_message> const all{
        question, answer, request, member_ask{self, {1, 0}, {}, {}},
        member_page{self, {1, 0}, {}, false, {}}};
    for (probe_message const& each : all) {
        CHECK(is_probe(encode_probe(each)));
    }

    peer_datagram word;
    word.from = self.str();
    word.present = true;
    CHECK_FALSE(is_probe(encode(word)));
    CHECK_FALSE(is_probe(""));
    CHECK_FALSE(is_probe("12"));

    SUBCASE("and what a word attests comes through") {
        word.attests = true;
        word.attested_ms = 250;
        word.declared_place = 7;
        auto const read = decode_peer_datagram(encode(word));
        REQUIRE(read);
        CHECK(read->attests);
        CHECK(read->attested_ms == 250);
        CHECK(read->declared_place == 7);
    }
}

} // namespace camphorpoint
