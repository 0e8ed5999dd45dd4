#include "Teams/usage_counter.hpp"

#include <algorithm>

namespace camphorpoint {

namespace {

/// Single nodes that stop or are replaced do not reduce a cap.
constexpr double nearly_all_nodes = 0.9;
/// The platform sums up usage in windows of about this length.
constexpr duration usage_window = std::chrono::seconds(10);
/// With three changes of the counting node in a window, each adds less than a
/// third of what the platform tolerates.
constexpr double repeated_change_fraction = 0.35;
/// A question is repeated within this time.
constexpr duration repeat_time = std::chrono::milliseconds(500);

} // namespace

usage_decision usage_counter::take(
    usage_question const& question, usage_cap const& cap, instant since,
    double fraction, instant now) {
    while (!recent_.empty() && now >= recent_.front().at + repeat_time) {
        decisions_.erase(recent_.front().question);
        recent_.pop_front();
    }
    auto const earlier = decisions_.find(question.id);
    if (earlier != decisions_.end()) {
        return earlier->second;
    }
    counted_team fresh{usage_meter(cap, since), since};
    fresh.meter.set_fraction(fraction, since);
    auto const [found, added] = meters_.try_emplace(question.team, fresh);
    counted_team& counted = found->second;
    if (counted.since != since) {
        // Another node may have counted the team in between.
        counted = fresh;
    }
    counted.meter.set_cap(cap, now);
    counted.meter.set_fraction(fraction, now);
    counted.meter.charge(question.unreported, now);
    usage_decision const decision = counted.meter.take(question.units, now);
    decisions_.emplace(question.id, decision);
    recent_.push_back({question.id, now});
    return decision;
}

void usage_counter::give_back(std::uint64_t team, double units, instant now) {
    auto const found = meters_.find(team);
    if (found != meters_.end()) {
        found->second.meter.give_back(units, now);
    }
}

double
settling_usage_fraction(std::optional<instant> former_change, instant now) {
    bool const repeated = former_change && now < *former_change + usage_window;
    return repeated ? repeated_change_fraction : 1;
}

double grantable_fraction(std::size_t reachable, std::size_t known) {
    double const part =
        static_cast<double>(std::max<std::size_t>(1, reachable)) /
        static_cast<double>(std::max<std::size_t>(1, known));
    return part >= nearly_all_nodes ? 1 : part;
}

} // namespace camphorpoint
