#include "Routing/start_check.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

start_check::start_check(start_check_times times)
    : times_(times) {}

void start_check::configured(instant now) {
    configured_at_ = configured_at_.value_or(now);
}

void start_check::listed(std::set<std::string> others) {
    if (!done_) {
        others_ = std::move(others);
    }
}

void start_check::heard(std::string const& from, std::uint64_t total) {
    if (!done_) {
        heard_.insert(from);
        told_ = std::max(told_, total);
    }
}

bool start_check::heard_all() const {
    return others_ && std::ranges::includes(heard_, *others_);
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
