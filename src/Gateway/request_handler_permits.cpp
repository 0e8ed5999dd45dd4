#include "Gateway/request_handler.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

/// Fraction of the latency objective for which a request that is not of the
/// most urgent class waits for a permit. The rest of the queue is left to the
/// most urgent class.
constexpr int permit_wait_divisor = 2;
/// A denied request does not ask the same replica again within its budget.
constexpr duration min_denial_excess = std::chrono::milliseconds(1);

} // namespace

duration request_handler::permit_budget(instant now) const {
    duration const objective = route_->objective;
    duration const wait =
        priority() == 0 ? objective : objective / permit_wait_divisor;
    instant const until =
        std::min(arrived_at_ + wait, deadline_ - min_attempt_time);
    return std::max(until - now, duration::zero());
}

bool request_handler::refuse_limited(instant now) {
    std::optional<duration> const wait =
        state_->selector.permit_wait(need_, now);
    if (wait) {
        reason_ = "replica-limited";
        earliest_ready_in_ = *wait;
    }
    return wait.has_value();
}

asio::awaitable<bool> request_handler::acquire_permit(endpoint_id at) {
    auto const caller = caller_;
    replica const* const target = state_->replicas.find(at);
    if (target == nullptr || !target->rate_limit) {
        co_return target != nullptr;
    }
    duration const budget = need_.permit_budget;
    rate_permit const permit = co_await messenger_->request_permit(at, budget);
    instant const now = boot_clock::now();
    replica* const current = state_->replicas.find(at);
    if (current == nullptr || caller->gone) {
        co_return false;
    }
    if (!permit.granted) {
        // Guards against asking again and again: an unanswered request may name
        // a shorter wait than this request's budget.
        current->permit_from =
            now + std::max(permit.wait, budget + min_denial_excess);
        co_return false;
    }
    if (permit.wait > duration::zero()) {
        asio::steady_timer timer(state_->io, permit.wait);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    replica const* const awaited = state_->replicas.find(at);
    co_return awaited != nullptr && awaited->accepts_requests() &&
        !caller->gone;
}

void request_handler::note_limits(
    endpoint_id const& at, platform::answer_kind kind,
    http_fields const& answer) {
    using platform::answer_kind;
    // A misdirected request was answered by another replica.
    if (kind == answer_kind::misdirected) {
        return;
    }
    platform::named_rate_limit const limit = platform::read_rate_limit(answer);
    messenger_->report_brittleness(
        at, platform::read_max_rejections(answer),
        kind == answer_kind::not_executed, attempt_began_at_);
    // A refusal without a limit may come from a part of the replica that does
    // not know it.
    if (!limit.named && kind == answer_kind::not_executed) {
        return;
    }
    if (limit.named && !limit.per_second) {
        state_->log_event(
            log_line(event_code::rate_limit_unreadable, log_level::warning)
                .with("replica", at.str()));
        return;
    }
    messenger_->report_rate_limit(at, limit.per_second, attempt_began_at_);
}

} // namespace camphorpoint
