#include "Routing/startup_gate.hpp"

#include "Core/hash.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

namespace camphorpoint {

namespace {

/// Any node that has run on knows as much as all others within seconds.
constexpr std::size_t most_asked = 8;

} // namespace

startup_gate::startup_gate(startup_gate_timeouts times)
    : times_(times) {}

void startup_gate::mark_configured(instant now) {
    configured_at_ = configured_at_.value_or(now);
}

void startup_gate::set_peers(
    std::string_view own, std::set<std::string> const& others) {
    if (done_) {
        return;
    }
    // Each node asks others than the rest: where all begin at once, nobody is
    // asked by all.
    std::multimap<std::uint64_t, std::string> drawn;
    for (std::string const& each : others) {
        drawn.emplace(combine_hashes(hash_text(own), hash_text(each)), each);
    }
    listed_ = true;
    asked_.clear();
    for (auto const& [draw, name] : drawn) {
        if (asked_.size() < most_asked) {
            asked_.insert(name);
        }
    }
}

void startup_gate::handle_peer_total(
    std::string const& from, std::uint64_t total) {
    if (!done_) {
        heard_.insert(from);
        told_ = std::max(told_, total);
    }
}

bool startup_gate::heard_all() const {
    return listed_ && std::ranges::includes(heard_, asked_);
}

bool startup_gate::passed(std::uint64_t known, instant now) {
    if (done_ || !configured_at_) {
        return done_;
    }
    bool const heard_in_time =
        heard_all() || now >= *configured_at_ + times_.peer_report_timeout;
    bool const has_all =
        known >= told_ || now >= *configured_at_ + times_.catch_up_timeout;
    done_ = heard_in_time && has_all;
    return done_;
}

} // namespace camphorpoint
