#include "Ports/connection_end.hpp"

#include <chrono>

namespace camphorpoint {

namespace {

constexpr std::chrono::seconds interval{1};
/// Ends that are logged one by one in a second.
constexpr unsigned most_logged = 20;

constexpr std::array<std::string_view, connection_end_count> names{
    "overload",       "connection-limit",
    "idle",           "shutdown",
    "behind-last",    "half-request",
    "read-timeout",   "too-large",
    "bad-request",    "body-budget",
    "caller-gone",    "write-timeout",
    "unanswered",     "cut",
    "handler-failed", "closed"};

} // namespace

std::string_view to_string(connection_end why) noexcept {
    return names.at(static_cast<std::size_t>(why));
}

bool connection_end_summary::add(
    connection_end_report const& end, instant now) {
    if (now - second_began_ >= interval) {
        second_began_ = now;
        logged_ = 0;
    }
    if (end.bytes_read > 0 && logged_ < most_logged) {
        ++logged_;
        return true;
    }
    connection_end_sum& sum = sums_.at(static_cast<std::size_t>(end.why));
    sum.why = end.why;
    ++sum.connections;
    sum.bytes_read += end.bytes_read;
    sum.bytes_unread += end.bytes_unread;
    return false;
}

std::vector<connection_end_sum> connection_end_summary::take(instant now) {
    if (now - taken_at_ < interval) {
        return {};
    }
    taken_at_ = now;
    return take_all();
}

std::vector<connection_end_sum> connection_end_summary::take_all() {
    std::vector<connection_end_sum> taken;
    for (connection_end_sum& each : sums_) {
        if (each.connections > 0) {
            taken.push_back(each);
            each = {};
        }
    }
    return taken;
}

} // namespace camphorpoint
