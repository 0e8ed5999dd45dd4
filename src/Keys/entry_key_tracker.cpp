#include "Keys/entry_key_tracker.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorpoint {

namespace {

/// The attempt number in all messages about a request; it is constant, since a
/// retry by the caller is a new request.
constexpr std::uint32_t only_attempt = 1;

/// @returns true when the same owner, or its successor, may soon reply
///        differently
bool may_retry(reason why) noexcept {
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
            each.next_request_at = {};
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
        decide(each, key_verdict::refused, reason::key_invalid);
        return;
    }
    each.wait_until =
        clock.now + (request.idempotent ? settings_.idempotent_wait_budget
                                        : settings_.owner_wait_budget);
    auto const [position, is_new] = open_.try_emplace(request.id, each);
    if (is_new) {
        send_permission_request(position->second, clock);
    }
}

void entry_key_tracker::send_permission_request(
    open_request& each, clock_reading const& clock) {
    bool const is_waiting = each.current_phase == phase::waiting;
    each.next_request_at =
        clock.now + (is_waiting ? settings_.waiting_retry_interval
                                : settings_.request_retry_interval);
    node_id const& owner = owners_[each.shard];
    if (owner.empty()) {
        return;
    }
    key_permission_request message;
    message.request = each.request.id;
    message.attempt = only_attempt;
    message.key = each.request.key;
    message.body_digest = each.request.body_digest;
    message.shard = each.shard;
    message.idempotent = each.request.idempotent;
    message.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        each.request.deadline - clock.now);
    message.sent = clock.wall;
    actions_.push_back(key_send{owner, std::move(message)});
}

void entry_key_tracker::decide(
    open_request const& each, key_verdict verdict, reason why,
    std::string answer) {
    key_decision decision;
    decision.request = each.request.id;
    decision.verdict = verdict;
    decision.why = why;
    decision.answer = std::move(answer);
    bool const may_retry_later =
        verdict == key_verdict::refused || verdict == key_verdict::unknown;
    decision.retry_after =
        may_retry_later ? settings_.retry_after : std::chrono::milliseconds(0);
    actions_.push_back(std::move(decision));
}

void entry_key_tracker::start(open_request& each) {
    each.current_phase = phase::running;
    decide(each, key_verdict::run, reason::none);
}

void entry_key_tracker::on_reply(
    key_reply const& reply, clock_reading const& clock) {
    auto const found = open_.find(reply.request);
    if (found == open_.end() || reply.attempt != only_attempt) {
        handle_late_permission(reply, clock.now);
        return;
    }
    if (handle_reply(found->second, reply, clock)) {
        open_.erase(found);
    }
}

/// @returns true when the request is no longer open
bool entry_key_tracker::handle_reply(
    open_request& each, key_reply const& reply, clock_reading const& clock) {
    if (reply.verdict == key_verdict::run) {
        return handle_permission(each, reply, clock);
    }
    if (each.current_phase == phase::running) {
        return false;
    }
    if (reply.verdict == key_verdict::wait) {
        each.current_phase = phase::waiting;
        each.wait_until = each.request.deadline;
        each.next_request_at = clock.now + settings_.waiting_retry_interval;
        return false;
    }
    if (reply.verdict == key_verdict::refused && may_retry(reply.why)) {
        bool const was_waiting = each.current_phase == phase::waiting;
        if (was_waiting) {
            each.current_phase = phase::requesting;
            each.wait_until = clock.now + settings_.owner_wait_budget;
        }
        each.next_request_at =
            was_waiting ? clock.now
                        : clock.now + settings_.request_retry_interval;
        return false;
    }
    keep_completion(each, {}, true, notify::no, clock.now);
    decide(each, reply.verdict, reply.why, reply.answer);
    return true;
}

/// @returns true when the request is no longer open
bool entry_key_tracker::handle_permission(
    open_request& each, key_reply const& reply, clock_reading const& clock) {
    if (each.current_phase == phase::running) {
        // The owner's record covers this idempotent request only from now on:
        // it was started without permission.
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
    // This request has the only permission and does not use it: nothing was
    // executed.
    key_completion completion;
    completion.how = outcome::not_run;
    completion.why = reason::deadline_passed;
    keep_completion(
        each, completion, true, notify::until_acknowledged, clock.now);
    decide(each, key_verdict::refused, reason::deadline_passed);
    return true;
}

void entry_key_tracker::handle_late_permission(
    key_reply const& reply, instant now) {
    // The request was abandoned on this node before its permission arrived.
    // Without this message the key would become unknown, although nothing was
    // executed. The stored completion says how the request completed on this
    // node, so it is correct to send it again at any time.
    auto const found = completed_.find(reply.request);
    if (reply.verdict != key_verdict::run || found == completed_.end()) {
        return;
    }
    found->second.completion.permission = reply.permission;
    found->second.completion.fencing = reply.fencing;
    unacknowledged_.insert(reply.request);
    send_completion(found->second, now);
}

void entry_key_tracker::on_completion_ack(key_completion_ack const& ack) {
    unacknowledged_.erase(ack.request);
    auto const found = completed_.find(ack.request);
    if (found != completed_.end() && !found->second.withdrawn) {
        completed_.erase(found);
    }
}

void entry_key_tracker::complete(
    request_id const& id, outcome how, reason why, std::string answer,
    clock_reading const& clock) {
    auto const found = open_.find(id);
    if (found == open_.end() || found->second.current_phase != phase::running) {
        return;
    }
    key_completion completion;
    completion.how = how;
    completion.why = why;
    completion.answer = std::move(answer);
    bool const recorded = found->second.permission != 0;
    keep_completion(
        found->second, std::move(completion), false,
        recorded ? notify::until_acknowledged : notify::no, clock.now);
    open_.erase(found);
}

void entry_key_tracker::withdraw(
    request_id const& id, clock_reading const& clock) {
    auto const found = open_.find(id);
    if (found == open_.end() || found->second.current_phase == phase::running) {
        return;
    }
    key_completion completion;
    completion.how = outcome::not_run;
    completion.why = reason::caller_gone;
    keep_completion(
        found->second, completion, true, notify::until_acknowledged, clock.now);
    open_.erase(found);
}

void entry_key_tracker::keep_completion(
    open_request const& each, key_completion completion, bool withdrawn,
    notify owner, instant now) {
    completion.request = each.request.id;
    completion.attempt = only_attempt;
    completion.key = each.request.key;
    completion.body_digest = each.request.body_digest;
    completion.shard = each.shard;
    completion.idempotent = each.request.idempotent;
    completion.permission = each.permission;
    completion.fencing = each.fencing;
    if (withdrawn) {
        completion.how = outcome::not_run;
    }
    if (owner == notify::no && !withdrawn) {
        return;
    }
    completed_request& stored = completed_[each.request.id];
    stored.completion = std::move(completion);
    stored.forget_at = now + settings_.completion_retention;
    stored.withdrawn = withdrawn;
    completed_order_.push_back(each.request.id);
    if (owner == notify::until_acknowledged) {
        unacknowledged_.insert(each.request.id);
        send_completion(stored, now);
    }
}

void entry_key_tracker::send_completion(completed_request& each, instant now) {
    each.next_send = now + settings_.heartbeat_period;
    node_id const& owner = owners_[each.completion.shard];
    if (!owner.empty()) {
        actions_.push_back(key_send{owner, each.completion});
    }
}

void entry_key_tracker::tick(clock_reading const& clock) {
    for (auto position = open_.begin(); position != open_.end();) {
        bool const finished = tick_open(position->second, clock);
        position = finished ? open_.erase(position) : std::next(position);
    }
    tick_completed(clock.now);
    if (clock.now >= next_heartbeat_) {
        next_heartbeat_ = clock.now + settings_.heartbeat_period;
        send_heartbeats();
    }
}

std::vector<key_action> entry_key_tracker::take_actions() {
    return std::exchange(actions_, {});
}

/// @returns true when the request is no longer open
bool entry_key_tracker::tick_open(
    open_request& each, clock_reading const& clock) {
    if (each.current_phase == phase::running) {
        return false;
    }
    if (clock.now >= std::min(each.wait_until, each.request.deadline)) {
        return time_out(each, clock);
    }
    if (clock.now >= each.next_request_at) {
        send_permission_request(each, clock);
    }
    return false;
}

/// @returns true when the request is no longer open
bool entry_key_tracker::time_out(
    open_request& each, clock_reading const& clock) {
    bool const in_time = clock.now < each.request.deadline;
    if (each.request.idempotent && in_time) {
        start(each);
        return false;
    }
    bool const was_waiting = each.current_phase == phase::waiting;
    key_completion completion;
    completion.why = reason::deadline_passed;
    keep_completion(
        each, completion, true, notify::until_acknowledged, clock.now);
    // The verdict is unknown, not refused: this request was not executed on
    // this node, but an earlier request with the same key may have been, and a
    // refusal would permit the caller to book again.
    decide(
        each, key_verdict::unknown,
        was_waiting ? reason::already_running : reason::owner_unreachable);
    return true;
}

void entry_key_tracker::tick_completed(instant now) {
    for (request_id const& id : unacknowledged_) {
        completed_request& each = completed_.at(id);
        if (now >= each.next_send) {
            send_completion(each, now);
        }
    }
    while (!completed_order_.empty()) {
        auto const oldest = completed_.find(completed_order_.front());
        bool const finished =
            oldest == completed_.end() || now >= oldest->second.forget_at ||
            completed_order_.size() > settings_.most_completed;
        if (!finished) {
            return;
        }
        unacknowledged_.erase(completed_order_.front());
        completed_order_.pop_front();
        if (oldest != completed_.end()) {
            completed_.erase(oldest);
        }
    }
}

void entry_key_tracker::send_heartbeats() {
    std::map<node_id, key_heartbeat> heartbeats;
    for (auto const& [id, each] : open_) {
        node_id const& owner = owners_[each.shard];
        if (each.current_phase != phase::running || each.permission == 0 ||
            owner.empty()) {
            continue;
        }
        running_key running;
        running.request = id;
        running.attempt = only_attempt;
        running.key = each.request.key;
        running.body_digest = each.request.body_digest;
        running.shard = each.shard;
        running.idempotent = each.request.idempotent;
        running.permission = each.permission;
        running.fencing = each.fencing;
        heartbeats[owner].running.push_back(std::move(running));
    }
    for (auto& [owner, heartbeat] : heartbeats) {
        actions_.push_back(key_send{owner, std::move(heartbeat)});
    }
}

} // namespace camphorpoint
