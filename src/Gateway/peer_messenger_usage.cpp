#include "Core/hash.hpp"
#include "Gateway/peer_messenger.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// The node that counts a team's usage answers within a few milliseconds. An
/// unanswered question is repeated once, since a datagram may be lost.
constexpr milliseconds usage_answer_timeout{30};
constexpr int max_usage_questions = 2;
/// A node counts as in contact when a message from it arrived within this time
/// and within `missed_broadcasts` intervals of its broadcasts.
constexpr duration contact_timeout = std::chrono::milliseconds(2'500);
constexpr int missed_broadcasts = 3;

} // namespace

std::size_t partition_of_team(std::uint64_t team) {
    return team % partition_count;
}

std::string peer_messenger::usage_counter_of(std::uint64_t team) const {
    auto const holder = lease_holders_.find(partition_of_team(team));
    return holder == lease_holders_.end() ? std::string() : holder->second;
}

std::optional<usage_decision> peer_messenger::count_usage(
    usage_question const& question, usage_cap const& cap, instant now) {
    std::size_t const partition = partition_of_team(question.team);
    auto const gained_at = state_->leases.counting_since(partition, now);
    // Guards against two nodes that both count the usage of a team.
    if (!gained_at) {
        return std::nullopt;
    }
    // The former holder may not have noticed yet that it has lost the
    // partition.
    bool const settling = !state_->leases.controls(partition, now);
    duration const timeout =
        std::max(contact_timeout, missed_broadcasts * status_interval());
    auto const in_contact =
        std::ranges::count_if(state_->peers, [&](auto const& each) {
            return now < each.second + timeout;
        });
    double const fraction = grantable_fraction(
        static_cast<std::size_t>(in_contact) + 1, state_->peers.size() + 1);
    double settling_part = 1;
    if (settling) {
        auto const changes = holder_changes_.find(partition);
        settling_part = settling_usage_fraction(
            changes == holder_changes_.end() ? std::nullopt
                                             : changes->second[1],
            now);
    }
    return usage_counter_.take(
        question, cap, *gained_at, settling_part * fraction, now);
}

void peer_messenger::send_usage_message(
    std::string const& to, peer_usage_message const& message) {
    peer_datagram datagram;
    datagram.usage_messages.push_back(message);
    send(to, std::move(datagram));
}

asio::awaitable<std::optional<usage_decision>>
peer_messenger::query_usage(std::string counter, peer_usage_message question) {
    std::uint64_t const number = question.number;
    std::optional<usage_decision> decision;
    for (int each = 0; each < max_usage_questions && !decision; ++each) {
        asio::steady_timer timer(state_->io, usage_answer_timeout);
        pending_usages_[number] = {&timer, std::nullopt};
        send_usage_message(counter, question);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        auto const answered = pending_usages_.extract(number);
        decision = answered.mapped().decision;
    }
    co_return decision;
}

asio::awaitable<usage_answer> peer_messenger::request_usage(
    std::uint64_t team, usage_cap cap, std::uint64_t units) {
    std::string counter = usage_counter_of(team);
    double const amount = static_cast<double>(units);
    instant const began = boot_clock::now();
    double const unreported = usage_histories_[team].unreported();
    std::uint64_t const number = ++last_usage_request_;
    std::optional<usage_decision> decision;
    if (counter == state_->own_address) {
        std::uint64_t const id =
            combine_hashes(hash_text(state_->own_address), number);
        decision = count_usage({id, team, amount, unreported}, cap, began);
    } else if (
        !counter.empty() &&
        !usage_histories_[team].presumed_unreachable(began)) {
        peer_usage_message question;
        question.number = number;
        question.team = team;
        question.units = units;
        question.unreported = static_cast<std::uint64_t>(unreported);
        usage_histories_[team].mark_asked(began);
        decision = co_await query_usage(std::move(counter), question);
    }
    instant const now = boot_clock::now();
    usage_history& history = usage_histories_[team];
    if (!decision) {
        std::uniform_real_distribution<> fraction;
        history.mark_unanswered(fraction(state_->random), now);
        bool const granted = history.take_unconfirmed(amount, now);
        co_return usage_answer{
            granted ? usage_outcome::granted_unconfirmed
                    : usage_outcome::unconfirmed,
            duration::zero()};
    }
    history.mark_answered(unreported, now);
    if (!decision->granted) {
        history.mark_denied(now);
        co_return usage_answer{usage_outcome::denied, decision->retry_after};
    }
    history.add_granted(amount, now);
    co_return usage_answer{usage_outcome::granted, duration::zero()};
}

void peer_messenger::return_usage(std::uint64_t team, std::uint64_t units) {
    std::string const counter = usage_counter_of(team);
    if (counter == state_->own_address) {
        usage_counter_.give_back(
            team, static_cast<double>(units), boot_clock::now());
    } else if (!counter.empty()) {
        send_usage_message(
            counter, {usage_message_kind::returned, 0, team, units, 0, 0});
    }
}

void peer_messenger::answer_usage_request(
    peer_usage_message const& message, std::string const& from, instant now) {
    team_definition const* const team =
        state_->teams.find_by_hash(message.team);
    if (team == nullptr) {
        return;
    }
    usage_decision decision{true, duration::zero()};
    if (team->cap.limited()) {
        usage_question const question{
            combine_hashes(hash_text(from), message.number), message.team,
            static_cast<double>(message.units),
            static_cast<double>(message.unreported)};
        auto const counted = count_usage(question, team->cap, now);
        if (!counted) {
            return;
        }
        decision = *counted;
    }
    peer_usage_message reply = message;
    reply.kind = decision.granted ? usage_message_kind::granted
                                  : usage_message_kind::denied;
    reply.retry_ms = clamped_milliseconds(decision.retry_after);
    send_usage_message(from, reply);
}

void peer_messenger::handle_usage_message(
    peer_usage_message const& message, std::string const& from, instant now) {
    if (message.kind == usage_message_kind::request) {
        answer_usage_request(message, from, now);
        return;
    }
    if (message.kind == usage_message_kind::returned) {
        usage_counter_.give_back(
            message.team, static_cast<double>(message.units), now);
        return;
    }
    bool const granted = message.kind == usage_message_kind::granted;
    auto const pending = pending_usages_.find(message.number);
    if (pending != pending_usages_.end() && !pending->second.decision) {
        pending->second.decision = {granted, milliseconds(message.retry_ms)};
        pending->second.timer->cancel();
    }
}

} // namespace camphorpoint
