#include "Keys/entry_key_tracker.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorpoint {

namespace {

/// A request asks under one number; it bears another only as another request.
constexpr std::uint32_t only_attempt = 1;

/// @returns true when the owner, or the next one, may say otherwise soon
bool may_ask_again(reason why) noexcept {
    return why == reason::owner_unreachable || why == reason::not_ready ||
           why == reason::draining || why == reason::key_clock_disagrees;
}

} // namespace

void entry_key_tracker::on_owner_changed(
    key_shard shard, node_id const& owner) {
    if (owners_[shard] == owner) {
        return;
    }
    owners_[shard] = owner;
    for (auto& [id, each] : open_) {
        if (each.shard == shard) {
            each.next_ask = {};
        }
    }
}

void entry_key_tracker::request_permission(
    keyed_request const& request, clock_reading const& clock) {
    open_request each;
    each.request = request;
    each.request.key = canonical_key(request.key);
    each.shard = key_shard_of(each.request.key);
    if (!request.idempotent && !parse_key_time(each.request.key)) {
        settle(each, key_verdict::refused, reason::key_invalid);
        return;
    }
    each.patience_ends =
        clock.now + (request.idempotent ? settings_.idempotent_wait_budget
                                        : settings_.owner_wait_budget);
    auto const [place, is_new] = open_.try_emplace(request.id, each);
    if (is_new) {
        send_ask(place->second, clock);
    }
}

void entry_key_tracker::send_ask(
    open_request& each, clock_reading const& clock) {
    bool const waits = each.now_in == phase::waiting;
    each.next_ask = clock.now + (waits ? settings_.waiting_retry_interval
                                       : settings_.request_retry_interval);
    node_id const& owner = owners_[each.shard];
    if (owner.empty()) {
        return;
    }
    key_permission_request ask;
    ask.request = each.request.id;
    ask.attempt = only_attempt;
    ask.key = each.request.key;
    ask.body_digest = each.request.body_digest;
    ask.shard = each.shard;
    ask.idempotent = each.request.idempotent;
    ask.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        each.request.deadline - clock.now);
    ask.sent = clock.wall;
    actions_.push_back(key_send{owner, std::move(ask)});
}

void entry_key_tracker::settle(
    open_request const& each, key_verdict verdict, reason why,
    std::string answer) {
    key_decision settled;
    settled.request = each.request.id;
    settled.verdict = verdict;
    settled.why = why;
    settled.answer = std::move(answer);
    bool const come_back =
        verdict == key_verdict::refused || verdict == key_verdict::unknown;
    settled.retry_after =
        come_back ? settings_.retry_after : std::chrono::milliseconds(0);
    actions_.push_back(std::move(settled));
}

void entry_key_tracker::start(open_request& each) {
    each.now_in = phase::running;
    settle(each, key_verdict::run, reason::none);
}

void entry_key_tracker::on_reply(
    key_reply const& reply, clock_reading const& clock) {
    auto const found = open_.find(reply.request);
    if (found == open_.end() || reply.attempt != only_attempt) {
        take_late_permission(reply, clock.now);
        return;
    }
    if (take_reply(found->second, reply, clock)) {
        open_.erase(found);
    }
}

/// @returns true when the request is over
bool entry_key_tracker::take_reply(
    open_request& each, key_reply const& reply, clock_reading const& clock) {
    if (reply.verdict == key_verdict::run) {
        return take_permission(each, reply, clock);
    }
    if (each.now_in == phase::running) {
        return false;
    }
    if (reply.verdict == key_verdict::wait) {
        each.now_in = phase::waiting;
        each.patience_ends = each.request.deadline;
        each.next_ask = clock.now + settings_.waiting_retry_interval;
        return false;
    }
    if (reply.verdict == key_verdict::refused && may_ask_again(reply.why)) {
        bool const joined = each.now_in == phase::waiting;
        if (joined) {
            each.now_in = phase::asking;
            each.patience_ends = clock.now + settings_.owner_wait_budget;
        }
        each.next_ask =
            joined ? clock.now : clock.now + settings_.request_retry_interval;
        return false;
    }
    remember(each, {}, true, tell::no, clock.now);
    settle(each, reply.verdict, reply.why, reply.answer);
    return true;
}

/// @returns true when the request is over
bool entry_key_tracker::take_permission(
    open_request& each, key_reply const& reply, clock_reading const& clock) {
    if (each.now_in == phase::running) {
        // Idempotent work that began without an owner's word is recorded now.
        if (each.permission == 0) {
            each.permission = reply.permission;
            each.fencing = reply.fencing;
        }
        return false;
    }
    each.permission = reply.permission;
    each.fencing = reply.fencing;
    if (clock.now < each.request.deadline) {
        start(each);
        return false;
    }
    // The only permission is in hand and goes unused: nothing ran.
    key_completion end;
    end.how = outcome::not_run;
    end.why = reason::deadline_passed;
    remember(each, end, true, tell::until_noted, clock.now);
    settle(each, key_verdict::refused, reason::deadline_passed);
    return true;
}

void entry_key_tracker::take_late_permission(
    key_reply const& reply, instant now) {
    // The request was given up here before its permission came: without a word
    // the key would stay unknown, though nothing ran. What is remembered is how
    // the request ended here, so saying it again is true at any time.
    auto const found = ended_.find(reply.request);
    if (reply.verdict != key_verdict::run || found == ended_.end()) {
        return;
    }
    found->second.end.permission = reply.permission;
    found->second.end.fencing = reply.fencing;
    unnoted_.insert(reply.request);
    send_end(found->second, now);
}

void entry_key_tracker::on_completion_ack(key_completion_ack const& noted) {
    unnoted_.erase(noted.request);
    auto const found = ended_.find(noted.request);
    if (found != ended_.end() && !found->second.withdrawn) {
        ended_.erase(found);
    }
}

void entry_key_tracker::complete(
    request_id const& id, outcome how, reason why, std::string answer,
    clock_reading const& clock) {
    auto const found = open_.find(id);
    if (found == open_.end() || found->second.now_in != phase::running) {
        return;
    }
    key_completion end;
    end.how = how;
    end.why = why;
    end.answer = std::move(answer);
    bool const recorded = found->second.permission != 0;
    remember(
        found->second, std::move(end), false,
        recorded ? tell::until_noted : tell::no, clock.now);
    open_.erase(found);
}

void entry_key_tracker::withdraw(
    request_id const& id, clock_reading const& clock) {
    auto const found = open_.find(id);
    if (found == open_.end() || found->second.now_in == phase::running) {
        return;
    }
    key_completion end;
    end.how = outcome::not_run;
    end.why = reason::caller_gone;
    remember(found->second, end, true, tell::until_noted, clock.now);
    open_.erase(found);
}

void entry_key_tracker::remember(
    open_request const& each, key_completion end, bool withdrawn, tell owner,
    instant now) {
    end.request = each.request.id;
    end.attempt = only_attempt;
    end.key = each.request.key;
    end.body_digest = each.request.body_digest;
    end.shard = each.shard;
    end.idempotent = each.request.idempotent;
    end.permission = each.permission;
    end.fencing = each.fencing;
    if (withdrawn) {
        end.how = outcome::not_run;
    }
    if (owner == tell::no && !withdrawn) {
        return;
    }
    ended_request& kept = ended_[each.request.id];
    kept.end = std::move(end);
    kept.forget_at = now + settings_.completion_retention;
    kept.withdrawn = withdrawn;
    ended_order_.push_back(each.request.id);
    if (owner == tell::until_noted) {
        unnoted_.insert(each.request.id);
        send_end(kept, now);
    }
}

void entry_key_tracker::send_end(ended_request& each, instant now) {
    each.next_send = now + settings_.heartbeat_period;
    node_id const& owner = owners_[each.end.shard];
    if (!owner.empty()) {
        actions_.push_back(key_send{owner, each.end});
    }
}

void entry_key_tracker::tick(clock_reading const& clock) {
    for (auto place = open_.begin(); place != open_.end();) {
        bool const over = tick_open(place->second, clock);
        place = over ? open_.erase(place) : std::next(place);
    }
    tick_ended(clock.now);
    if (clock.now >= next_heartbeat_) {
        next_heartbeat_ = clock.now + settings_.heartbeat_period;
        send_heartbeats();
    }
}

std::vector<key_action> entry_key_tracker::take_actions() {
    return std::exchange(actions_, {});
}

/// @returns true when the request is over
bool entry_key_tracker::tick_open(
    open_request& each, clock_reading const& clock) {
    if (each.now_in == phase::running) {
        return false;
    }
    if (clock.now >= std::min(each.patience_ends, each.request.deadline)) {
        return give_up(each, clock);
    }
    if (clock.now >= each.next_ask) {
        send_ask(each, clock);
    }
    return false;
}

/// @returns true when the request is over
bool entry_key_tracker::give_up(
    open_request& each, clock_reading const& clock) {
    bool const in_time = clock.now < each.request.deadline;
    if (each.request.idempotent && in_time) {
        start(each);
        return false;
    }
    bool const joined = each.now_in == phase::waiting;
    key_completion end;
    end.why = reason::deadline_passed;
    remember(each, end, true, tell::until_noted, clock.now);
    // Not "not run": this request did not run here, but an earlier one with
    // the same key may have, and the caller must not book anew on our word.
    settle(
        each, key_verdict::unknown,
        joined ? reason::already_running : reason::owner_unreachable);
    return true;
}

void entry_key_tracker::tick_ended(instant now) {
    for (request_id const& id : unnoted_) {
        ended_request& each = ended_.at(id);
        if (now >= each.next_send) {
            send_end(each, now);
        }
    }
    while (!ended_order_.empty()) {
        auto const oldest = ended_.find(ended_order_.front());
        bool const over = oldest == ended_.end() ||
                          now >= oldest->second.forget_at ||
                          ended_order_.size() > settings_.most_ended;
        if (!over) {
            return;
        }
        unnoted_.erase(ended_order_.front());
        ended_order_.pop_front();
        if (oldest != ended_.end()) {
            ended_.erase(oldest);
        }
    }
}

void entry_key_tracker::send_heartbeats() {
    std::map<node_id, key_heartbeat> beats;
    for (auto const& [id, each] : open_) {
        node_id const& owner = owners_[each.shard];
        if (each.now_in != phase::running || each.permission == 0 ||
            owner.empty()) {
            continue;
        }
        running_key held;
        held.request = id;
        held.attempt = only_attempt;
        held.key = each.request.key;
        held.body_digest = each.request.body_digest;
        held.shard = each.shard;
        held.idempotent = each.request.idempotent;
        held.permission = each.permission;
        held.fencing = each.fencing;
        beats[owner].held.push_back(std::move(held));
    }
    for (auto& [owner, beat] : beats) {
        actions_.push_back(key_send{owner, std::move(beat)});
    }
}

} // namespace camphorpoint
