#include "Routing/startup_gate.hpp"

#include "Core/hash.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

namespace camphorpoint {

namespace {

/// Enough peers, since any node that has run for some seconds knows as much as
/// all others.
constexpr std::size_t max_peers_asked = 8;

} // namespace

startup_gate::startup_gate(startup_gate_timeouts timeouts)
    : timeouts_(timeouts) {}

void startup_gate::mark_configured(instant now) {
    configured_at_ = configured_at_.value_or(now);
}

void startup_gate::set_peers(
    std::string_view own, std::set<std::string> const& others) {
    if (done_) {
        return;
    }
    // Each node picks its own peers, so that no node is asked by all others
    // when all nodes start at once.
    std::multimap<std::uint64_t, std::string> ranked;
    for (std::string const& each : others) {
        ranked.emplace(combine_hashes(hash_text(own), hash_text(each)), each);
    }
    peers_known_ = true;
    peers_to_ask_.clear();
    for (auto const& [rank, name] : ranked) {
        if (peers_to_ask_.size() < max_peers_asked) {
            peers_to_ask_.insert(name);
        }
    }
}

void startup_gate::handle_peer_total(
    std::string const& from, std::uint64_t total) {
    if (!done_) {
        reported_peers_.insert(from);
        reported_total_ = std::max(reported_total_, total);
    }
}

bool startup_gate::all_reported() const {
    return peers_known_ &&
           std::ranges::includes(reported_peers_, peers_to_ask_);
}

bool startup_gate::passed(std::uint64_t known, instant now) {
    if (done_ || !configured_at_) {
        return done_;
    }
    bool const peers_reported =
        all_reported() ||
        now >= *configured_at_ + timeouts_.peer_report_timeout;
    bool const caught_up = known >= reported_total_ ||
                           now >= *configured_at_ + timeouts_.catch_up_timeout;
    done_ = peers_reported && caught_up;
    return done_;
}

} // namespace camphorpoint
