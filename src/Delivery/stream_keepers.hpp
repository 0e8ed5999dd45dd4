#pragma once

#include "Core/hash.hpp"
#include "Delivery/stream_origins.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// @param nodes number of running nodes
/// @returns the number of other nodes that record the origin of a stream
constexpr std::size_t stream_keeper_count(std::size_t nodes) noexcept {
    // Each record is a datagram of its own where there are many nodes. Two
    // keepers then cost more than the loss of one keeper in hundreds.
    constexpr std::size_t max_nodes_for_two = 400;
    return nodes > max_nodes_for_two ? 1 : 2;
}

/// Nodes that are asked beyond the keepers: the view of the nodes that run may
/// differ by as many between the node that recorded the stream and this one.
inline constexpr std::size_t extra_keepers_asked = 1;

/// Ranks the nodes that record the origin of a stream by rendezvous hashing, so
/// that a node that resumes the stream finds them without knowing at which node
/// it began.
/// @param peers a map whose keys are the addresses of the other nodes
/// @param count how many to return
/// @returns the addresses, the first keeper first
template <class Peers>
std::vector<std::string>
rank_stream_keepers(stream_key stream, Peers const& peers, std::size_t count) {
    struct ranked_peer {
        std::uint64_t score;
        std::string const* address;
    };
    std::vector<ranked_peer> best;
    best.reserve(count + 1);
    auto const higher = [](ranked_peer const& left, ranked_peer const& right) {
        return left.score > right.score;
    };
    for (auto const& peer : peers) {
        std::uint64_t const score = combine_hashes(
            static_cast<std::uint64_t>(stream), hash_text(peer.first));
        if (best.size() == count && score <= best.back().score) {
            continue;
        }
        ranked_peer const entry{score, &peer.first};
        best.insert(std::ranges::upper_bound(best, entry, higher), entry);
        best.resize(std::min(best.size(), count));
    }
    std::vector<std::string> result;
    result.reserve(best.size());
    for (ranked_peer const& each : best) {
        result.push_back(*each.address);
    }
    return result;
}

} // namespace camphorpoint
