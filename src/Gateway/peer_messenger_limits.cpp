#include "Gateway/peer_messenger.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// A controller answers within a few milliseconds.
constexpr milliseconds permit_answer_timeout{25};
/// A controller that has not answered is asked again after this time.
constexpr duration unanswered_permit_delay = milliseconds(1'000);
constexpr double milli_per_unit = 1'000;
std::uint32_t to_milli_rate(double per_second) {
    constexpr double max_rate = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::min(per_second * milli_per_unit, max_rate));
}

} // namespace

peer_rate_limit
peer_messenger::rate_limit_message(replica const& at, instant now) {
    peer_rate_limit message;
    message.replica = fleet::id_hash(at.record.id);
    message.limited = at.rate_limit.has_value();
    if (at.rate_limit) {
        message.milli_rate = to_milli_rate(at.rate_limit->per_second);
    }
    message.age_ms = clamped_milliseconds(
        now - (at.rate_limit ? at.rate_limit->named_at : at.unlimited_at));
    return message;
}

void peer_messenger::apply_rate_limit(
    peer_rate_limit const& message, std::string_view by, instant now) {
    replica const* const at = state_->replicas.find_by_hash(message.replica);
    if (at == nullptr) {
        return;
    }
    instant const then = now - milliseconds(message.age_ms);
    endpoint_id const& id = at->record.id;
    if (!message.limited) {
        if (state_->replicas.lift_rate_limit(id, then)) {
            state_->log_event(log_line(event_code::replica_unlimited)
                                  .with("replica", id.str())
                                  .with("by", by));
        }
        return;
    }
    double const rate = message.milli_rate / milli_per_unit;
    if (state_->replicas.limit_rate(id, rate, then)) {
        state_->log_event(
            log_line(event_code::replica_limited, log_level::warning)
                .with("replica", id.str())
                .with("per_second", fmt::format("{:g}", rate))
                .with("by", by));
    }
}

void peer_messenger::report_rate_limit(
    endpoint_id const& at, std::optional<double> per_second, instant sent_at) {
    replica const* const target = state_->replicas.find(at);
    if (target == nullptr || (!per_second && !target->rate_limit)) {
        return;
    }
    instant const now = boot_clock::now();
    peer_rate_limit message;
    message.replica = fleet::id_hash(at);
    message.limited = per_second.has_value();
    message.milli_rate = to_milli_rate(per_second.value_or(0));
    message.age_ms = per_second ? 0 : clamped_milliseconds(now - sent_at);
    apply_rate_limit(message, "answer", now);
    auto const holder = lease_holders_.find(partition_of(at));
    if (holder != lease_holders_.end() &&
        holder->second != state_->own_address) {
        peer_datagram report;
        report.rate_limits.push_back(message);
        send(holder->second, std::move(report));
    }
}

std::optional<peer_permit_reply> peer_messenger::reserve_permit(
    std::uint64_t replica, duration budget, instant now) {
    camphorpoint::replica const* const at =
        state_->replicas.find_by_hash(replica);
    // Guards against two nodes that both grant permits for a replica.
    if (at == nullptr || !is_lease_holder(at->record.id) ||
        !state_->leases.controls(partition_of(at->record.id), now)) {
        return std::nullopt;
    }
    peer_permit_reply reply;
    if (!at->rate_limit) {
        rate_schedules_.erase(replica);
        reply.granted = true;
        reply.unlimited = true;
        return reply;
    }
    double const rate = at->rate_limit->per_second;
    rate_schedule& schedule =
        rate_schedules_.try_emplace(replica, rate, now).first->second;
    schedule.set_rate(rate, now);
    rate_permit const permit = schedule.reserve(budget, now);
    reply.granted = permit.granted;
    reply.wait_ms = clamped_milliseconds(permit.wait);
    return reply;
}

asio::awaitable<rate_permit>
peer_messenger::request_permit(endpoint_id at, duration budget) {
    rate_permit const unanswered{false, unanswered_permit_delay};
    instant const now = boot_clock::now();
    std::uint64_t const hash = fleet::id_hash(at);
    replica const* const target = state_->replicas.find(at);
    auto const holder = lease_holders_.find(partition_of(at));
    if (target == nullptr || holder == lease_holders_.end()) {
        co_return unanswered;
    }
    std::optional<peer_permit_reply> reply;
    if (holder->second == state_->own_address) {
        reply = reserve_permit(hash, budget, now);
    } else {
        peer_permit_request request;
        request.number = ++last_permit_request_;
        request.limit = rate_limit_message(*target, now);
        request.budget_ms = clamped_milliseconds(budget);
        std::string controller = holder->second;
        reply = co_await ask_controller(
            std::move(controller), request, permit_answer_timeout);
    }
    if (!reply) {
        co_return unanswered;
    }
    if (reply->unlimited) {
        state_->replicas.lift_rate_limit(at, boot_clock::now());
    }
    co_return rate_permit{reply->granted, milliseconds(reply->wait_ms)};
}

asio::awaitable<std::optional<peer_permit_reply>>
peer_messenger::ask_controller(
    std::string controller, peer_permit_request request, duration timeout) {
    std::uint64_t const number = request.number;
    asio::steady_timer timer(state_->io, timeout);
    pending_permits_[number] = {&timer, std::nullopt};
    peer_datagram message;
    message.permit_requests.push_back(request);
    send(controller, std::move(message));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    auto const answered = pending_permits_.extract(number);
    co_return answered.mapped().reply;
}

void peer_messenger::handle_permit_request(
    peer_permit_request const& message, std::string const& from, instant now) {
    if (message.limit.limited) {
        apply_rate_limit(message.limit, "message", now);
    }
    std::optional<peer_permit_reply> reply =
        message.for_slot
            ? grant_slot(message, from, now)
            : reserve_permit(
                  message.limit.replica, milliseconds(message.budget_ms), now);
    if (reply) {
        reply->number = message.number;
        peer_datagram answer;
        answer.permit_replies.push_back(*reply);
        send(from, std::move(answer));
    }
}

void peer_messenger::handle_permit_reply(peer_permit_reply const& message) {
    auto const pending = pending_permits_.find(message.number);
    if (pending != pending_permits_.end()) {
        pending->second.reply = message;
        pending->second.timer->cancel();
    }
}

} // namespace camphorpoint
