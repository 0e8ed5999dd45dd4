#include "Routing/route_history.hpp"

#include "Core/hash.hpp"

#include <algorithm>
#include <bit>
#include <vector>

namespace camphorpoint {

namespace {

/// The requests of a route that lead to one service, as a part of the range of
/// request hashes.
struct service_share {
    service_id service;
    double from = 0;
    double to = 0;
};

/// @param route null, or a route
/// @returns the shares of a streaming route; none of another one
std::vector<service_share> stream_shares(service_route const* route) {
    std::vector<service_share> shares;
    if (route == nullptr || route->kind != route_kind::streaming) {
        return shares;
    }
    double total = 0;
    for (weighted_service const& each : route->weighted_services) {
        total += each.weight;
    }
    double sum = 0;
    for (weighted_service const& each : route->weighted_services) {
        double const from = sum / total;
        sum += each.weight;
        shares.push_back({each.service, from, sum / total});
    }
    return shares;
}

bool covers(
    std::vector<service_share> const& shares, service_share const& wanted) {
    return std::ranges::any_of(shares, [&](service_share const& each) {
        return each.service == wanted.service && each.from <= wanted.from &&
               each.to >= wanted.to;
    });
}

std::uint64_t hash_share(service_share const& share) {
    return combine_hashes(
        hash_text(share.service.str()),
        combine_hashes(
            std::bit_cast<std::uint64_t>(share.from),
            std::bit_cast<std::uint64_t>(share.to)));
}

/// The order in which the operator lists the routes does not count.
route_fingerprint make_fingerprint(route_table const& routes) {
    std::uint64_t sum = 0;
    for (service_route const& route : routes.all()) {
        std::uint64_t hash =
            combine_hashes(hash_text(route.host), hash_text(route.path_prefix));
        for (service_share const& each : stream_shares(&route)) {
            hash = combine_hashes(hash, hash_share(each));
        }
        sum += hash;
    }
    return route_fingerprint{sum};
}

} // namespace

void route_history::note_change(
    route_table const& before, route_table const& after, instant now) {
    // Paths below a prefix may get another route by routes with other prefixes,
    // so that the prefixes of both tables are looked up in both.
    bool const knows_past = observed(now);
    bool const removed = removed_at_ && now < *removed_at_ + memory_;
    auto const compare = [&](service_route const& region) {
        auto const old_shares =
            stream_shares(before.find(region.host, region.path_prefix));
        auto const new_shares =
            stream_shares(after.find(region.host, region.path_prefix));
        if (!old_shares.empty() && new_shares.empty()) {
            removed_at_ = now;
        }
        bool const is_new = old_shares.empty();
        // A route that was never there has no streams of another service.
        if (is_new && knows_past && !removed) {
            return;
        }
        for (service_share const& each : new_shares) {
            if (!covers(old_shares, each)) {
                bool const unsure = is_new && !removed;
                (unsure ? unsure_at_ : moved_at_)[each.service] = now;
            }
        }
    };
    route_fingerprint const known = fingerprint_;
    fingerprint_ = make_fingerprint(after);
    if (!began_) {
        began_ = now;
        return;
    }
    std::ranges::for_each(before.all(), compare);
    std::ranges::for_each(after.all(), compare);
    // What was known of the services to which no route has moved holds on.
    for (auto& [service, routes] : adopted_) {
        routes = routes == known ? fingerprint_ : routes;
    }
}

bool route_history::observed(instant now) const {
    return first_start_ || (began_ && now >= *began_ + memory_);
}

bool route_history::is_recent(
    change_times const& times, service_id const& service, instant now) const {
    auto const found = times.find(service);
    return found != times.end() && now < found->second + memory_;
}

bool route_history::knows_origin(service_id const& service, instant now) const {
    auto const adopted = adopted_.find(service);
    bool const stated =
        adopted != adopted_.end() && adopted->second == fingerprint_;
    return began_ && !is_recent(unsure_at_, service, now) &&
           (stated || observed(now));
}

service_versions route_history::limit(
    service_versions versions, service_id const& service, instant now) const {
    if (is_recent(moved_at_, service, now)) {
        return {version_knowledge::several, {}};
    }
    if (versions.only() && !knows_origin(service, now)) {
        versions.knowledge = version_knowledge::seen;
    }
    return versions;
}

} // namespace camphorpoint
