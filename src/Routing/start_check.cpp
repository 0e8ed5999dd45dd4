#include "Routing/start_check.hpp"

#include "Core/hash.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

namespace camphorpoint {

namespace {

/// Any node that has run on knows as much as all others within seconds.
constexpr std::size_t most_asked = 8;

} // namespace

start_check::start_check(start_check_times times)
    : times_(times) {}

void start_check::configured(instant now) {
    configured_at_ = configured_at_.value_or(now);
}

void start_check::listed(
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

void start_check::heard(std::string const& from, std::uint64_t total) {
    if (!done_) {
        heard_.insert(from);
        told_ = std::max(told_, total);
    }
}

bool start_check::heard_all() const {
    return listed_ && std::ranges::includes(heard_, asked_);
}

bool start_check::passed(std::uint64_t known, instant now) {
    if (done_ || !configured_at_) {
        return done_;
    }
    bool const heard_in_time =
        heard_all() || now >= *configured_at_ + times_.hearing;
    bool const has_all =
        known >= told_ || now >= *configured_at_ + times_.catching_up;
    done_ = heard_in_time && has_all;
    return done_;
}

} // namespace camphorpoint
