#include "Delivery/resend_budget.hpp"

#include <algorithm>

namespace camphorpoint {

namespace {

/// Parts of the credit that may be spent while it is fresh, and once it has
/// matured. A process that spends both and is replaced by one that spends its
/// fresh credit reaches matured + 3/2 fresh = 0.96 of the limit in one window.
/// The rest covers the length of a step.
constexpr double fresh_fraction = 0.275;
constexpr double matured_fraction = 0.55;
/// A longer time between two calls earns no credit beyond this: the process may
/// have been suspended while another node took its share over.
constexpr std::chrono::milliseconds max_accrual{500};

} // namespace

std::int64_t resend_budget::step_number(instant now) const {
    constexpr auto steps = static_cast<std::int64_t>(steps_per_window);
    duration const window = limits_.window;
    duration const width = window / steps;
    return now.time_since_epoch() / width;
}

template <class Step>
Step& resend_budget::newest_step(std::deque<Step>& past, std::int64_t number) {
    constexpr auto kept = static_cast<std::int64_t>(history_steps);
    // After a change of the window the steps have other numbers.
    auto const outside = [=](Step const& each) {
        return each.number <= number - kept || each.number > number;
    };
    while (!past.empty() && outside(past.front())) {
        past.pop_front();
    }
    if (past.empty() || past.back().number != number) {
        past.emplace_back().number = number;
    }
    return past.back();
}

void resend_budget::set_slack_share(double share, instant now) {
    std::chrono::duration<double> const passed =
        std::min<duration>(now - accrued_until_, max_accrual);
    accrued_until_ = now;
    newest_step(slack_held_, step_number(now)).held += slack_share_ * passed;
    slack_share_ = share;
}

void resend_budget::on_request(service_id const& service, instant now) {
    newest_step(services_[service], step_number(now)).requests += 1;
}

resend_budget::timeline
resend_budget::timeline_of(history const& past, std::int64_t number) const {
    std::chrono::duration<double> const window = limits_.window;
    timeline result{};
    for (step const& each : past) {
        auto const age = static_cast<std::size_t>(number - each.number);
        if (age < result.size()) {
            result[age].earned += limits_.ratio * each.requests;
            result[age].spent += each.resends;
        }
    }
    for (slack_step const& each : slack_held_) {
        auto const age = static_cast<std::size_t>(number - each.number);
        if (age < result.size()) {
            result[age].earned += limits_.slack * (each.held / window);
        }
    }
    return result;
}

bool resend_budget::available(service_id const& service, instant now) {
    // Credit that was not spent for longer than this must mature first.
    constexpr std::size_t fresh_steps = steps_per_window / 2;
    timeline const past = timeline_of(services_[service], step_number(now));
    auto const earned = [&past](std::size_t first, std::size_t last) {
        double sum = 0;
        for (std::size_t age = first; age < last; ++age) {
            sum += past[age].earned;
        }
        return sum;
    };
    double const matured = std::min(
        earned(0, steps_per_window),
        earned(steps_per_window, 2 * steps_per_window));
    double spent = 0;
    double fresh = 0;
    for (std::size_t age = 0; age <= steps_per_window; ++age) {
        spent += past[age].spent;
        fresh += past[age].earned;
        double const allowed =
            matured_fraction * matured + fresh_fraction * fresh;
        if (age >= fresh_steps && spent + 1 > allowed) {
            return false;
        }
    }
    return true;
}

bool resend_budget::try_consume(service_id const& service, instant now) {
    if (!available(service, now)) {
        return false;
    }
    newest_step(services_[service], step_number(now)).resends += 1;
    return true;
}

} // namespace camphorpoint
