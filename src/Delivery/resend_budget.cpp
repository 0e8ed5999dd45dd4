#include "Delivery/resend_budget.hpp"

#include <algorithm>

namespace camphorpoint {

namespace {

constexpr int steps_per_window = 10;
/// Usable fraction of the limit. The rest covers two inaccuracies: windows
/// advance in steps, and a node that has just joined uses its part of the slack
/// before the other nodes know of it.
constexpr double usable_fraction = 0.85;

} // namespace

resend_budget::step& resend_budget::current(history& past, instant now) const {
    auto const width =
        std::chrono::duration_cast<duration>(limits_.window) / steps_per_window;
    std::int64_t const number = now.time_since_epoch() / width;
    while (!past.steps.empty() &&
           past.steps.front().number < number - steps_per_window) {
        past.steps.pop_front();
    }
    if (past.steps.empty() || past.steps.back().number != number) {
        past.steps.push_back({number, 0, 0});
    }
    return past.steps.back();
}

void resend_budget::on_request(service_id const& service, instant now) {
    current(services_[service], now).requests += 1;
}

bool resend_budget::available(
    service_id const& service, unsigned nodes, instant now) {
    history& past = services_[service];
    current(past, now);
    double requests = 0;
    double sent = 0;
    for (step const& each : past.steps) {
        requests += each.requests;
        sent += each.resends;
    }
    double const quota_share = limits_.slack / std::max(1U, nodes);
    double const allowed =
        usable_fraction * (limits_.ratio * requests + quota_share);
    return sent + 1 <= allowed;
}

bool resend_budget::try_consume(
    service_id const& service, unsigned nodes, instant now) {
    if (!available(service, nodes, now)) {
        return false;
    }
    current(services_[service], now).resends += 1;
    return true;
}

} // namespace camphorpoint
