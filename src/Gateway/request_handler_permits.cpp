#include "Gateway/request_handler.hpp"
#include "Ports/endpoint_notice_fields.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

/// Fraction of the latency objective for which a request that is not of the
/// most urgent class waits for a permit. The rest of the queue is left to the
/// most urgent class.
constexpr int permit_wait_divisor = 2;
/// Refused callers are told to come back over this fraction of the wait beyond
/// its end, so that they do not all come at the same time.
constexpr int retry_spread = 4;
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

duration request_handler::spread(duration longest) {
    std::uniform_int_distribution<duration::rep> part(0, longest.count());
    return duration(part(state_->random));
}

bool request_handler::refuse_limited(instant now) {
    std::optional<duration> wait = state_->selector.permit_wait(need_, now);
    if (!wait) {
        wait = state_->selector.usable_wait(need_, now);
    }
    if (wait) {
        reason_ = "replica-limited";
        earliest_ready_in_ = *wait + spread(*wait / retry_spread);
    }
    return wait.has_value();
}

asio::awaitable<bool> request_handler::clear_to_send(endpoint_id at) {
    auto const caller = caller_;
    if (!co_await acquire_permit(at)) {
        co_return false;
    }
    if (!co_await enter_gate(at)) {
        co_return false;
    }
    bool const claimed = co_await claim_slot(at);
    bool const clear =
        claimed && !stall_has_ended() && may_send(at, boot_clock::now());
    if (!clear) {
        leave_gate(attempt_outcome::unreached);
    }
    co_return clear;
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
        co_await pause_until(now + permit.wait);
    }
    replica const* const awaited = state_->replicas.find(at);
    co_return awaited != nullptr && awaited->accepts_requests() &&
        !caller->gone;
}

bool request_handler::awaits_replica(instant now) const {
    std::optional<duration> const wait =
        state_->selector.usable_wait(need_, now);
    return wait && *wait < permit_budget(now);
}

asio::awaitable<void>
request_handler::note_slot_denial(endpoint_id at, duration wait) {
    instant const now = boot_clock::now();
    std::erase_if(need_.slot_denials, [&](slot_denial const& each) {
        return each.replica == at;
    });
    need_.slot_denials.push_back({at, now + wait});
    ++slot_denials_;
    if (slot_denials_ % denials_before_wait == 0) {
        co_await pause_until(now + std::min(wait, permit_budget(now)));
    }
}

asio::awaitable<bool> request_handler::claim_slot(endpoint_id at) {
    auto const caller = caller_;
    slot_number_ = 0;
    if (!messenger_->is_brittle(at)) {
        co_return true;
    }
    instant const asked_at = boot_clock::now();
    slot_permit const slot =
        co_await messenger_->request_slot(at, permit_budget(asked_at));
    if (!slot.permit.granted) {
        co_await note_slot_denial(at, slot.permit.wait);
        co_return false;
    }
    slot_number_ = slot.number;
    bool const lapsed = boot_clock::now() >= asked_at + max_grant_age;
    co_return !lapsed && !caller->gone;
}

void request_handler::note_rest(
    forwarded_attempt& attempt, int status, http_fields const& answer) {
    duration const rest = read_retry_after(status, answer);
    attempt.trace.rest = rest;
    if (rest > duration::zero()) {
        state_->replicas.mark_resting(
            attempt.replica, boot_clock::now() + rest);
    }
}

bool request_handler::may_send(endpoint_id const& at, instant now) const {
    replica const* const target = std::as_const(state_->replicas).find(at);
    return target != nullptr && target->accepts_requests() &&
           !target->resting(now) && begins_in_time(*target, now);
}

void request_handler::note_load(
    endpoint_id const& at, http_fields const& answer) {
    platform::named_load const load = platform::read_load(answer);
    if (load.named && !load.figures) {
        state_->metrics.count_unreadable_load();
        return;
    }
    if (load.figures && load.figures->slowdown) {
        messenger_->report_slowdown(at, *load.figures->slowdown);
    }
}

void request_handler::note_limits(
    forwarded_attempt& attempt, platform::answer_kind kind,
    http_fields const& answer) {
    using platform::answer_kind;
    endpoint_id const& at = attempt.replica;
    // A misdirected request was answered by another replica, and one with a
    // refusal that states nothing may have been.
    if (kind == answer_kind::misdirected || kind == answer_kind::unstated) {
        return;
    }
    if (platform::announces_leaving(answer)) {
        messenger_->report_leaving(at);
    }
    note_load(at, answer);
    platform::named_rate_limit const limit = platform::read_rate_limit(answer);
    auto const max_rejections = platform::read_max_rejections(answer);
    bool const rejected = kind == answer_kind::not_executed;
    attempt.trace.rejected = rejected;
    // A refusal without a limit may come from a part of the replica that does
    // not know it.
    if (max_rejections || !rejected) {
        messenger_->report_brittleness(at, max_rejections, attempt.began_at);
    }
    if (rejected && messenger_->is_brittle(at)) {
        messenger_->report_rejection(at, slot_number_);
    }
    if (!limit.named && rejected) {
        return;
    }
    if (limit.named && !limit.per_second) {
        state_->log_event(
            log_line(event_code::rate_limit_unreadable, log_level::warning)
                .with("replica", at.str()));
        return;
    }
    messenger_->report_rate_limit(at, limit.per_second, attempt.began_at);
}

} // namespace camphorpoint
