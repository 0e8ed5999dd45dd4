#pragma once

#include "Core/hash.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string_view>
#include <tuple>
#include <vector>

namespace camphorpoint {

/// Ranks members for a key by rendezvous hashing. A member's score depends only
/// on that member and the key, so that adding or removing a member moves only
/// the keys that this member gains or loses.
/// Reference: D. G. Thaler, C. V. Ravishankar, "Using name-based mappings to
/// increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
/// @param key       the key to place
/// @param members   the identifiers to choose from, in any order
/// @param max_count how many to return
/// @returns the members with the highest scores, best first
template <class Id>
std::vector<Id> rendezvous_top(
    std::string_view key, std::vector<Id> const& members,
    std::size_t max_count) {
    struct scored {
        std::uint64_t score;
        Id const* id;
    };
    std::uint64_t const key_hash = hash_text(key);
    std::vector<scored> ranked;
    ranked.reserve(members.size());
    for (Id const& each : members) {
        std::uint64_t const member_hash = hash_text(each.str());
        ranked.push_back({combine_hashes(key_hash, member_hash), &each});
    }
    std::size_t const count = std::min(max_count, ranked.size());
    auto const better = [](scored const& left, scored const& right) {
        if (left.score != right.score) {
            return left.score > right.score;
        }
        return *left.id < *right.id;
    };
    std::ranges::partial_sort(
        ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count), better);
    std::vector<Id> result;
    result.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back(*ranked[index].id);
    }
    return result;
}

/// The same with members of different size: each is first for a part of the
/// keys that is proportional to its weight. With equal weights the ranking is
/// that of `rendezvous_top`.
/// Reference: C. Schindelhauer, G. Schomaker, "Weighted distributed hash
/// tables", SPAA 2005.
/// @param weight_of positive weight of a member
template <class Id, class Weight>
std::vector<Id> weighted_rendezvous(
    std::string_view key, std::vector<Id> const& members,
    Weight const& weight_of) {
    struct scored {
        double score;
        std::uint64_t hash;
        Id const* id;
    };
    std::uint64_t const key_hash = hash_text(key);
    std::vector<scored> ranked;
    ranked.reserve(members.size());
    for (Id const& each : members) {
        std::uint64_t const hash =
            combine_hashes(key_hash, hash_text(each.str()));
        // Between 0 and 1, both excluded.
        constexpr int unused_bits = 12;
        double const uniform = std::ldexp(
            static_cast<double>(hash >> unused_bits) + 0.5, unused_bits - 64);
        ranked.push_back({-weight_of(each) / std::log(uniform), hash, &each});
    }
    std::ranges::sort(ranked, [](scored const& left, scored const& right) {
        return std::tie(left.score, left.hash, *right.id) >
               std::tie(right.score, right.hash, *left.id);
    });
    std::vector<Id> result;
    result.reserve(ranked.size());
    for (scored const& each : ranked) {
        result.push_back(*each.id);
    }
    return result;
}

} // namespace camphorpoint
