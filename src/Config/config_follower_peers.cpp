// The part of config_follower that talks to peers.

#include "Config/config_follower.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace {

log_record record_of(copied_record const& copy) {
    return {
        copy.offset, wall_time(std::chrono::milliseconds(copy.appended_ms)),
        copy.data};
}

} // namespace

config_actions config_follower::on_peer(
    node_id const& from, config_message const& message, instant now) {
    config_actions out;
    std::visit(
        [&](auto const& each) { handle(from, each, now, out); }, message);
    return out;
}

config_actions
config_follower::needs(log_offset wanted, node_id const& peer, instant now) {
    config_actions out;
    if (wanted <= current_.next()) {
        return out;
    }
    // A read under way may have begun before the record stood in the log.
    read_again_ = true;
    // Not more often while the log fails, nor for each request of many.
    instant const soon = std::max(now, next_urgent_);
    if (failures_ == 0 && soon < next_read_) {
        next_read_ = soon;
        next_urgent_ = soon + settings_.urgent_pause;
    }
    begin_read(now, out);
    if (!peer.empty() && peer != self_) {
        ask({peer}, now, out);
    }
    return out;
}

bool config_follower::log_is_failing(instant now) const {
    return failures_ > 0 ||
           (read_began_ && now - *read_began_ >= settings_.slow_read);
}

std::vector<node_id>
config_follower::some_peers(node_id const& but, std::size_t most) {
    std::vector<node_id> others = peers_;
    std::erase(others, but);
    std::vector<node_id> chosen;
    std::size_t const count = std::min(most, others.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::uniform_int_distribution<std::size_t> pick(
            index, others.size() - 1);
        std::swap(others[index], others[pick(random_)]);
        chosen.push_back(others[index]);
    }
    return chosen;
}

void config_follower::ask_when_due(instant now, config_actions& out) {
    if (transfer_ || now < next_ask_) {
        return;
    }
    if (lost_place_ || log_is_failing(now)) {
        next_ask_ = now + std::min(poll_interval(), settings_.pull_every);
        ask(some_peers(node_id(), settings_.fanout), now, out);
    } else if (ready_ && poll_interval() > settings_.pull_every) {
        next_ask_ = now + settings_.pull_every;
        ask(some_peers(node_id(), 1), now, out);
    }
}

void config_follower::ask(
    std::vector<node_id> const& peers, instant now, config_actions& out) {
    if (round_ || peers.empty()) {
        return;
    }
    round_ = ask_round{};
    round_->number = ++last_number_;
    round_->sent = now;
    round_->open = peers.size();
    for (node_id const& peer : peers) {
        config_ask message;
        message.number = round_->number;
        message.next = current_.next();
        message.digest = current_.digest();
        out.emplace_back(config_send{peer, message});
    }
}

void config_follower::finish_round(instant now, config_actions& out) {
    ask_round const round = *round_;
    round_.reset();
    if (!round.best) {
        return;
    }
    if (round.best->next > current_.next()) {
        if (round.progress) {
            // One message holds only so many records: ask for the next ones.
            ask({round.best->peer}, now, out);
        } else if (lost_place_ || log_is_failing(now)) {
            begin_transfer(round.best->peer, now, out);
        } else {
            config_actions more = needs(round.best->next, node_id(), now);
            std::ranges::move(more, std::back_inserter(out));
        }
        return;
    }
    if (log_is_failing(now)) {
        become_ready(out);
    }
}

void config_follower::begin_transfer(
    node_id const& peer, instant now, config_actions& out) {
    if (transfer_) {
        return;
    }
    transfer_ = transfer{};
    transfer_->number = ++last_number_;
    transfer_->peer = peer;
    transfer_->last_part = now;
    config_ask message;
    message.number = transfer_->number;
    message.next = current_.next();
    message.digest = current_.digest();
    message.whole_state = true;
    out.emplace_back(config_send{peer, message});
}

void config_follower::handle(
    node_id const& from, config_ask const& message, instant now,
    config_actions& out) {
    compare(from, message.next, message.digest, out);
    if (!ready_) {
        // Half a state must not be taken for the newest that there is.
        return;
    }
    if (message.next > current_.next()) {
        config_actions more = needs(message.next, from, now);
        std::ranges::move(more, std::back_inserter(out));
    }
    if (message.whole_state) {
        sender_.begin(from, message.number, current_.snapshot());
        return;
    }
    config_records answer = summary(now);
    answer.number = message.number;
    add_kept(message.next, answer);
    out.emplace_back(config_send{from, std::move(answer)});
}

config_records config_follower::summary(instant now) const {
    config_records message;
    message.next = current_.next();
    message.digest = current_.digest();
    if (confirmed_at_) {
        message.confirmed = true;
        // Rounded up, so that the asker does not think itself any fresher.
        message.confirmed_age_ms =
            std::chrono::ceil<std::chrono::milliseconds>(now - *confirmed_at_)
                .count();
    }
    return message;
}

void config_follower::add_kept(
    log_offset since, config_records& message) const {
    message.records = kept_.copy_from(since, config_message_bytes);
}

void config_follower::handle(
    node_id const& from, config_records const& message, instant now,
    config_actions& out) {
    log_offset const since = current_.next();
    bool const progress = take_copies(message, out);
    compare(from, message.next, message.digest, out);
    push_news(since, from, now, out);
    if (message.number == 0) {
        if (message.next > current_.next()) {
            config_actions more = needs(message.next, from, now);
            std::ranges::move(more, std::back_inserter(out));
        }
        return;
    }
    if (!round_ || message.number != round_->number) {
        return;
    }
    contact_at_ = std::max(contact_at_.value_or(instant{}), round_->sent);
    round_->progress = round_->progress || progress;
    if (!round_->best || message.next > round_->best->next) {
        round_->best = offer{from, message.next};
    }
    // The peer was at the head at most that long before this node asked, and
    // this node has now all that the peer had.
    if (message.confirmed && message.confirmed_age_ms >= 0 && ready_ &&
        current_.next() >= message.next) {
        std::chrono::milliseconds const age(message.confirmed_age_ms);
        instant const when = round_->sent - age;
        confirmed_at_ = std::max(confirmed_at_.value_or(when), when);
    }
    if (--round_->open == 0) {
        finish_round(now, out);
    }
}

bool config_follower::take_copies(
    config_records const& message, config_actions& out) {
    log_offset const since = current_.next();
    for (copied_record const& each : message.records) {
        if (each.offset > current_.next()) {
            break;
        }
        if (each.offset < current_.next()) {
            continue;
        }
        log_record const record = record_of(each);
        if (!each.data.empty()) {
            take(record, out);
            continue;
        }
        current_.pass(each.offset);
        kept_.push(each);
        note_checkpoint(each.closes_checkpoint, record.appended);
    }
    return current_.next() > since;
}

void config_follower::compare(
    node_id const& from, log_offset next, std::uint64_t digest,
    config_actions& out) {
    if (next != current_.next() || digest == current_.digest()) {
        return;
    }
    // Guards against a fault that would otherwise stay unseen: two nodes that
    // replayed the same records and have different profiles in force. Neither
    // can tell which of them is wrong, so both say it.
    log_offset& reported = reported_[from];
    if (reported == next) {
        return;
    }
    reported = next;
    out.emplace_back(log_event{
        event_code::config_digest_differs, log_level::error,
        fmt::format(
            "peer={} next={} mine={:016x} theirs={:016x}", from.str(),
            next.value, current_.digest(), digest)});
}

void config_follower::push_news(
    log_offset since, node_id const& but, instant now, config_actions& out) {
    if (!ready_ || current_.next() <= since) {
        return;
    }
    config_records news = summary(now);
    add_kept(since, news);
    auto const says_something = [](copied_record const& each) {
        return !each.data.empty();
    };
    if (std::ranges::none_of(news.records, says_something)) {
        return;
    }
    for (node_id const& peer : some_peers(but, settings_.fanout)) {
        out.emplace_back(config_send{peer, news});
    }
}

void config_follower::handle(
    node_id const& from, config_state const& message, instant now,
    config_actions& out) {
    if (!transfer_ || message.number != transfer_->number ||
        from != transfer_->peer) {
        return;
    }
    transfer_->last_part = now;
    contact_at_ = now;
    std::optional<configuration_state> const whole =
        transfer_->parts.add(from.str(), message.part);
    if (!whole) {
        return;
    }
    transfer_.reset();
    if (adopt(*whole, "peer", out)) {
        lost_place_ = false;
        search_.reset();
        next_read_ = now;
        become_ready(out);
    } else if (!is_intact(*whole)) {
        out.emplace_back(log_event{
            event_code::config_state_broken, log_level::error,
            fmt::format("source=peer peer={}", from.str())});
    }
}

} // namespace camphorpoint
