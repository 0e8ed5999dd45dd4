#include "Scheduling/grant_table.hpp"

#include <algorithm>

namespace camphorpoint::internal {

namespace {

/// Upper bound of the age of an engine's report.
constexpr std::chrono::seconds max_report_lag{10};

} // namespace

void grant_table::add(running_grant grant) {
    ++grant_counts_[grant.adapter];
    request_id const id = grant.request;
    grants_.insert_or_assign(id, std::move(grant));
}

std::optional<running_grant>
grant_table::end(request_id const& id, instant now) {
    auto const known = grants_.find(id);
    if (known == grants_.end()) {
        return std::nullopt;
    }
    running_grant grant = std::move(known->second);
    grants_.erase(known);
    auto const users = grant_counts_.find(grant.adapter);
    if (--users->second == 0) {
        grant_counts_.erase(users);
    }
    ended_.push_back({grant.granted, now});
    while (now - ended_.front().ended > max_report_lag) {
        ended_.pop_front();
    }
    return grant;
}

running_grant const* grant_table::find(request_id const& id) const {
    auto const known = grants_.find(id);
    return known == grants_.end() ? nullptr : &known->second;
}

running_grant* grant_table::find(request_id const& id) {
    auto const known = grants_.find(id);
    return known == grants_.end() ? nullptr : &known->second;
}

void grant_table::clear() {
    grants_.clear();
    grant_counts_.clear();
    ended_.clear();
    foreign_running_ = 0;
}

void grant_table::on_report(std::uint32_t running, instant measured) {
    auto const now_running = std::ranges::count_if(
        grants_, [&](auto const& e) { return e.second.granted <= measured; });
    auto const then_running = std::ranges::count_if(ended_, [&](auto const& e) {
        return e.granted <= measured && e.ended >= measured;
    });
    auto const own = static_cast<std::uint32_t>(now_running + then_running);
    foreign_running_ = running > own ? running - own : 0;
}

std::uint32_t grant_table::occupied() const {
    return static_cast<std::uint32_t>(grants_.size()) + foreign_running_;
}

std::uint32_t grant_table::using_adapter(adapter_ref const& adapter) const {
    auto const users = grant_counts_.find(adapter);
    return users == grant_counts_.end() ? 0 : users->second;
}

std::vector<request_id> grant_table::ids_of_node(node_id const& node) const {
    std::vector<request_id> result;
    for (auto const& [id, grant] : grants_) {
        if (grant.node == node) {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<running_grant> grant_table::all() const {
    std::vector<running_grant> result;
    result.reserve(grants_.size());
    for (auto const& each : grants_) {
        result.push_back(each.second);
    }
    return result;
}

} // namespace camphorpoint::internal
