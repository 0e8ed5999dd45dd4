#include "Keys/key_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace camphorpoint {

namespace {

/// Number of records that a tick checks for expiry. At this rate a pass over
/// all records of a full node takes seconds, which is negligible beside the
/// retention, and a tick stays short.
constexpr std::size_t records_checked_per_tick = 8;

bool holds_permission(
    key_record const& record, node_id const& from, request_id const& request,
    std::uint32_t attempt) {
    return record.entry_node == from && record.request == request &&
           record.attempt == attempt;
}

} // namespace

key_table::key_table(
    key_settings const& settings, internal::key_memory& memory, key_shard shard)
    : settings_(settings)
    , memory_(memory)
    , shard_(shard) {
    assert(
        settings.longest_answer + settings.longest_key <
            handover_part_bytes / 2 &&
        "a record must fit into one part of a handover");
}

key_table::~key_table() {
    for (auto& [key, each] : entries_) {
        drop_answer(each);
    }
    memory_.drop_records(entries_.size());
}

void key_table::begin_claim(log_offset fencing) {
    assert(fencing >= fencing_ && "a claim's offset only grows");
    fencing_ = fencing;
    closed_ = false;
}

void key_table::set_unknown_up_to(wall_time bound) {
    unknown_up_to_ = std::max(unknown_up_to_, bound);
}

void key_table::on_permission_request(
    node_id const& from, key_permission_request const& message,
    bool has_authority, clock_reading const& clock) {
    bool const long_key = message.key.str().size() > settings_.longest_key;
    if (long_key || (!message.idempotent && !parse_key_time(message.key))) {
        reply(from, message, key_verdict::refused, reason::key_invalid);
        return;
    }
    // Without this check an owner that was paused until after its authority
    // expired would give a permission in addition to its successor's, and a
    // booking would be executed twice. The authority ends before the
    // successor's begins. A permission that was sent in time is for a key that
    // the successor refuses because of the key's time.
    bool const may_grant = has_authority && !closed_;
    auto const found = entries_.find(message.key);
    if (found != entries_.end()) {
        handle_known_key(found->second, from, message, may_grant, clock);
    } else if (!may_grant) {
        reply(from, message, key_verdict::refused, reason::owner_unreachable);
    } else {
        handle_new_key(from, message, clock);
    }
}

void key_table::handle_known_key(
    entry& known, node_id const& from, key_permission_request const& message,
    bool has_authority, clock_reading const& clock) {
    key_record const& record = known.record;
    if (record.body_digest != message.body_digest) {
        reply(from, message, key_verdict::refused, reason::key_reused);
        return;
    }
    bool const repeat = record.idempotent && message.idempotent;
    // A completed execution stays a fact, even if another node owns the shard
    // by now.
    if (record.state == key_state::done && (record.answer_kept || !repeat)) {
        reply_done(from, message.request, message.attempt, known);
    } else if (!has_authority) {
        reply(from, message, key_verdict::refused, reason::owner_unreachable);
    } else {
        handle_incomplete_key(known, from, message, clock);
    }
}

void key_table::handle_incomplete_key(
    entry& known, node_id const& from, key_permission_request const& message,
    clock_reading const& clock) {
    key_record const& record = known.record;
    bool const repeat = record.idempotent && message.idempotent;
    if (record.state == key_state::running) {
        if (holds_permission(record, from, message.request, message.attempt)) {
            known.last_seen = clock.now;
            reply_run(known);
        } else {
            add_waiter(known, from, message, clock);
        }
    } else if (record.state == key_state::not_run || repeat) {
        grant_permission(known, from, message, clock.now);
    } else {
        reply(from, message, key_verdict::unknown, record.why);
    }
}

void key_table::handle_new_key(
    node_id const& from, key_permission_request const& message,
    clock_reading const& clock) {
    reason const rejection =
        message.idempotent ? reason::none : check_key_time(message, clock);
    if (rejection == reason::key_too_new) {
        reply(from, message, key_verdict::refused, rejection);
        return;
    }
    if (rejection != reason::none) {
        reply(from, message, key_verdict::unknown, rejection);
        return;
    }
    entry* const made = make_entry(
        message.key, message.body_digest, message.idempotent, clock.wall);
    if (made != nullptr) {
        grant_permission(*made, from, message, clock.now);
    } else if (message.idempotent) {
        // For idempotent work, a full table only means that the answer is not
        // stored.
        reply(from, message, key_verdict::run, reason::key_table_full);
    } else {
        reply(from, message, key_verdict::refused, reason::key_table_full);
    }
}

reason key_table::check_key_time(
    key_permission_request const& message, clock_reading const& clock) const {
    wall_time const made = *parse_key_time(message.key);
    // Limits the keys that an owner can have accepted to those with a time up
    // to its own clock plus this limit. The takeover check below relies on it.
    if (made > clock.wall + settings_.ahead_limit) {
        return reason::key_too_new;
    }
    // The key's record may have been removed already. Records are kept beyond
    // this limit by twice the clock error, so that a node with a slow clock
    // does not execute the work again.
    if (made < clock.wall - settings_.retention) {
        return reason::key_too_old;
    }
    // The previous owner may have crashed after it permitted the execution, and
    // its records are lost. Without this check, a booking that is repeated
    // after the crash would be executed a second time. Every key that the
    // crashed owner accepted has a time up to its last clock reading plus the
    // limit above, which is at or below this bound.
    if (made <= unknown_up_to_) {
        return reason::key_unknown_after_takeover;
    }
    return reason::none;
}

void key_table::grant_permission(
    entry& known, node_id const& from, key_permission_request const& message,
    instant now) {
    key_record& record = known.record;
    record.state = key_state::running;
    record.idempotent = record.idempotent && message.idempotent;
    record.entry_node = from;
    record.request = message.request;
    record.attempt = message.attempt;
    record.permission = next_permission_++;
    record.fencing = fencing_;
    record.why = reason::none;
    known.last_seen = now;
    running_.insert(record.key);
    reply_run(known);
}

void key_table::add_waiter(
    entry& known, node_id const& from, key_permission_request const& message,
    clock_reading const& clock) {
    std::erase_if(known.waiters, [&](waiter const& each) {
        bool const same =
            each.request == message.request && each.attempt == message.attempt;
        return same || each.until < clock.now;
    });
    if (known.waiters.size() >= settings_.most_waiters) {
        reply(from, message, key_verdict::unknown, reason::already_running);
        return;
    }
    known.waiters.push_back(
        {from, message.request, message.attempt,
         clock.now + message.time_left});
    reply(from, message, key_verdict::wait, reason::already_running);
}

bool key_table::on_completion(
    node_id const& from, key_completion const& completion, bool has_authority,
    clock_reading const& clock) {
    if (!has_authority || closed_) {
        // The successor must receive the completion: only its acknowledgement
        // ends the repeated sending.
        return false;
    }
    auto const found = entries_.find(completion.key);
    if (found == entries_.end()) {
        complete_new_key(from, completion, clock);
    } else if (found->second.record.body_digest == completion.body_digest) {
        complete_known_key(found->second, from, completion, clock);
    }
    return true;
}

void key_table::complete_new_key(
    node_id const& from, key_completion const& completion,
    clock_reading const& clock) {
    if (completion.permission == 0 || completion.how == outcome::not_run) {
        return;
    }
    entry* const made = make_entry(
        completion.key, completion.body_digest, completion.idempotent,
        clock.wall);
    if (made == nullptr) {
        return;
    }
    made->record.entry_node = from;
    made->record.request = completion.request;
    made->record.attempt = completion.attempt;
    made->record.permission = completion.permission;
    made->record.fencing = completion.fencing;
    if (completion.how == outcome::done) {
        complete(*made, completion.answer);
    } else {
        mark_unknown(*made, completion.why);
    }
}

void key_table::complete_known_key(
    entry& known, node_id const& from, key_completion const& completion,
    clock_reading const& clock) {
    std::erase_if(known.waiters, [&](waiter const& each) {
        return each.request == completion.request &&
               each.attempt == completion.attempt;
    });
    key_record const& record = known.record;
    if (record.state == key_state::done) {
        return;
    }
    // Only the entry node that has the one permission can report that the
    // permission was not used.
    bool const holder =
        holds_permission(record, from, completion.request, completion.attempt);
    bool const unfinished = record.state == key_state::running ||
                            record.state == key_state::unknown;
    if (completion.how == outcome::done) {
        complete(known, completion.answer);
    } else if (completion.how == outcome::not_run && holder && unfinished) {
        reassign_permission(known, clock);
    } else if (completion.how == outcome::unknown && holder && unfinished) {
        mark_unknown(known, completion.why);
    }
}

void key_table::reassign_permission(entry& known, clock_reading const& clock) {
    known.record.state = key_state::not_run;
    running_.erase(known.record.key);
    while (!known.waiters.empty()) {
        waiter const next = known.waiters.front();
        known.waiters.erase(known.waiters.begin());
        if (next.until > clock.now) {
            key_permission_request next_request;
            next_request.request = next.request;
            next_request.attempt = next.attempt;
            next_request.idempotent = known.record.idempotent;
            grant_permission(known, next.entry_node, next_request, clock.now);
            return;
        }
    }
}

void key_table::complete(entry& known, std::string const& answer) {
    known.record.state = key_state::done;
    known.record.why = reason::none;
    running_.erase(known.record.key);
    keep_answer(known, answer);
    notify_waiters(known);
}

void key_table::mark_unknown(entry& known, reason why) {
    known.record.state = key_state::unknown;
    known.record.why = why;
    running_.erase(known.record.key);
    notify_waiters(known);
}

void key_table::notify_waiters(entry& known) {
    for (waiter const& each : std::exchange(known.waiters, {})) {
        if (known.record.state == key_state::done) {
            reply_done(each.entry_node, each.request, each.attempt, known);
            continue;
        }
        key_permission_request message;
        message.request = each.request;
        message.attempt = each.attempt;
        // Idempotent work may be executed again: its entry node sends a new
        // permission request.
        bool const may_retry = known.record.idempotent;
        reply(
            each.entry_node, message,
            may_retry ? key_verdict::refused : key_verdict::unknown,
            may_retry ? reason::owner_unreachable : known.record.why);
    }
}

void key_table::keep_answer(entry& known, std::string const& answer) {
    if (answer.size() > settings_.longest_answer) {
        return;
    }
    known.record.answer = answer;
    known.record.answer_kept = true;
    memory_.add_answer(answer.size());
    keys_with_answer_.push_back(known.record.key);
    while (memory_.answers_over_limit() && !keys_with_answer_.empty()) {
        auto const oldest = entries_.find(keys_with_answer_.front());
        keys_with_answer_.pop_front();
        if (oldest != entries_.end()) {
            drop_answer(oldest->second);
        }
    }
}

void key_table::drop_answer(entry& known) {
    if (known.record.answer_kept) {
        memory_.drop_answer(known.record.answer.size());
        known.record.answer_kept = false;
        known.record.answer = std::string();
    }
}

void key_table::on_heartbeat(
    node_id const& from, running_key const& running,
    clock_reading const& clock) {
    auto const found = entries_.find(running.key);
    if (found != entries_.end()) {
        key_record& record = found->second.record;
        bool const unfinished = record.state == key_state::running ||
                                record.state == key_state::unknown;
        if (unfinished &&
            holds_permission(record, from, running.request, running.attempt)) {
            // An entry node that was paused has resumed, and is still executing
            // the work.
            record.state = key_state::running;
            running_.insert(record.key);
            found->second.last_seen = clock.now;
        }
        return;
    }
    entry* const made = make_entry(
        running.key, running.body_digest, running.idempotent, clock.wall);
    if (made != nullptr) {
        made->record.entry_node = from;
        made->record.request = running.request;
        made->record.attempt = running.attempt;
        made->record.permission = running.permission;
        made->record.fencing = running.fencing;
        made->last_seen = clock.now;
        running_.insert(running.key);
    }
}

void key_table::tick(clock_reading const& clock) {
    std::vector<idempotency_key> timed_out;
    for (idempotency_key const& key : running_) {
        instant const seen = entries_.at(key).last_seen;
        if (clock.now - seen > settings_.entry_timeout) {
            timed_out.push_back(key);
        }
    }
    for (idempotency_key const& key : timed_out) {
        mark_unknown(entries_.at(key), reason::key_entry_lost);
    }
    remove_expired(clock.wall);
}

void key_table::remove_expired(wall_time now) {
    auto position = entries_.lower_bound(cursor_);
    for (std::size_t count = 0; count < records_checked_per_tick; ++count) {
        if (position == entries_.end()) {
            cursor_ = {};
            return;
        }
        key_record const& record = position->second.record;
        bool const running = record.state == key_state::running;
        if (!running && record.forget_after < now) {
            drop_answer(position->second);
            position = entries_.erase(position);
            memory_.drop_records(1);
        } else {
            ++position;
        }
    }
    cursor_ = position == entries_.end() ? idempotency_key() : position->first;
}

auto key_table::make_entry(
    idempotency_key const& key, std::uint64_t digest, bool idempotent,
    wall_time now) -> entry* {
    if (!memory_.has_capacity()) {
        return nullptr;
    }
    memory_.add_records(1);
    entry& made = entries_[key];
    made.record.key = key;
    made.record.body_digest = digest;
    made.record.idempotent = idempotent;
    // Twice the clock error: the next owner's clock may be slower than this
    // one's, and must already refuse the key as too old when this owner removes
    // the record.
    wall_time const since =
        idempotent ? now : parse_key_time(key).value_or(now);
    made.record.forget_after =
        since + settings_.retention + 2 * settings_.clock_error;
    return &made;
}

key_record const* key_table::find(idempotency_key const& key) const {
    auto const found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second.record;
}

std::vector<addressed_reply> key_table::drain_replies() {
    return std::exchange(replies_, {});
}

} // namespace camphorpoint
