#include "Keys/key_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace camphorpoint {

namespace {

/// Records looked at in one tick: a sweep over a full node's records takes
/// seconds, which is nothing beside the retention, and a tick stays short.
constexpr std::size_t looked_at_in_tick = 8;

bool holds(
    key_record const& record, node_id const& from, request_id const& request,
    std::uint32_t attempt) {
    return record.entry == from && record.request == request &&
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

void key_table::begin(log_offset fencing) {
    assert(fencing >= fencing_ && "a claim's offset only grows");
    fencing_ = fencing;
    closed_ = false;
}

void key_table::know_nothing_up_to(wall_time bound) {
    unknown_up_to_ = std::max(unknown_up_to_, bound);
}

void key_table::ask(
    node_id const& from, key_permission_request const& ask, bool may_decide,
    clock_reading const& clock) {
    bool const long_key = ask.key.str().size() > settings_.longest_key;
    if (long_key || (!ask.idempotent && !parse_key_time(ask.key))) {
        reply(from, ask, key_verdict::refused, reason::key_invalid);
        return;
    }
    // A paused holder whose authority has lapsed would give a permission
    // beside its successor's. It shows as a booking that ran twice. The
    // authority ends before the successor's begins, and a permission that left
    // in time is for a key that the successor refuses by its time.
    bool const may_give = may_decide && !closed_;
    auto const found = entries_.find(ask.key);
    if (found != entries_.end()) {
        ask_known(found->second, from, ask, may_give, clock);
    } else if (!may_give) {
        reply(from, ask, key_verdict::refused, reason::owner_unreachable);
    } else {
        ask_new(from, ask, clock);
    }
}

void key_table::ask_known(
    entry& known, node_id const& from, key_permission_request const& ask,
    bool may_decide, clock_reading const& clock) {
    key_record const& record = known.record;
    if (record.body_digest != ask.body_digest) {
        reply(from, ask, key_verdict::refused, reason::key_reused);
        return;
    }
    bool const repeat = record.idempotent && ask.idempotent;
    // That it ran stays true whoever owns the shard by now.
    if (record.state == key_state::done && (record.answer_kept || !repeat)) {
        reply_done(from, ask.request, ask.attempt, known);
    } else if (!may_decide) {
        reply(from, ask, key_verdict::refused, reason::owner_unreachable);
    } else {
        ask_undone(known, from, ask, clock);
    }
}

void key_table::ask_undone(
    entry& known, node_id const& from, key_permission_request const& ask,
    clock_reading const& clock) {
    key_record const& record = known.record;
    bool const repeat = record.idempotent && ask.idempotent;
    if (record.state == key_state::running) {
        if (holds(record, from, ask.request, ask.attempt)) {
            known.last_heard = clock.now;
            reply_run(known);
        } else {
            join(known, from, ask, clock);
        }
    } else if (record.state == key_state::not_run || repeat) {
        give(known, from, ask, clock.now);
    } else {
        reply(from, ask, key_verdict::unknown, record.why);
    }
}

void key_table::ask_new(
    node_id const& from, key_permission_request const& ask,
    clock_reading const& clock) {
    reason const problem =
        ask.idempotent ? reason::none : time_problem(ask, clock);
    if (problem == reason::key_too_new) {
        reply(from, ask, key_verdict::refused, problem);
        return;
    }
    if (problem != reason::none) {
        reply(from, ask, key_verdict::unknown, problem);
        return;
    }
    entry* const made =
        make_entry(ask.key, ask.body_digest, ask.idempotent, clock.wall);
    if (made != nullptr) {
        give(*made, from, ask, clock.now);
    } else if (ask.idempotent) {
        // A full table costs idempotent work its answer's memory, no more.
        reply(from, ask, key_verdict::run, reason::key_table_full);
    } else {
        reply(from, ask, key_verdict::refused, reason::key_table_full);
    }
}

reason key_table::time_problem(
    key_permission_request const& ask, clock_reading const& clock) const {
    wall_time const made = *parse_key_time(ask.key);
    // Bounds what a holder can have taken: nothing above its own clock plus
    // this limit. The takeover check below relies on it.
    if (made > clock.wall + settings_.ahead_limit) {
        return reason::key_too_new;
    }
    // Its record may be forgotten by now; records outlive this limit by the
    // clock error, so a node with a slow clock does not run it again.
    if (made < clock.wall - settings_.retention) {
        return reason::key_too_old;
    }
    // The dead holder may have let it run: its memory is lost. It would show
    // as a second run of a booking that is repeated after the crash. Whatever
    // the dead holder took bears a time up to its last clock reading plus the
    // limit above, so it is at or below this bound.
    if (made <= unknown_up_to_) {
        return reason::key_unknown_after_takeover;
    }
    return reason::none;
}

void key_table::give(
    entry& known, node_id const& from, key_permission_request const& ask,
    instant now) {
    key_record& record = known.record;
    record.state = key_state::running;
    record.idempotent = record.idempotent && ask.idempotent;
    record.entry = from;
    record.request = ask.request;
    record.attempt = ask.attempt;
    record.permission = next_permission_++;
    record.fencing = fencing_;
    record.why = reason::none;
    known.last_heard = now;
    running_.insert(record.key);
    reply_run(known);
}

void key_table::join(
    entry& known, node_id const& from, key_permission_request const& ask,
    clock_reading const& clock) {
    std::erase_if(known.waiters, [&](waiter const& each) {
        bool const same =
            each.request == ask.request && each.attempt == ask.attempt;
        return same || each.until < clock.now;
    });
    if (known.waiters.size() >= settings_.most_waiters) {
        reply(from, ask, key_verdict::unknown, reason::already_running);
        return;
    }
    known.waiters.push_back(
        {from, ask.request, ask.attempt, clock.now + ask.time_left});
    reply(from, ask, key_verdict::wait, reason::already_running);
}

bool key_table::finish(
    node_id const& from, key_completion const& end, bool may_decide,
    clock_reading const& clock) {
    if (!may_decide || closed_) {
        // The successor has to know it: only its word ends the resending.
        return false;
    }
    auto const found = entries_.find(end.key);
    if (found == entries_.end()) {
        finish_new(from, end, clock);
    } else if (found->second.record.body_digest == end.body_digest) {
        finish_known(found->second, from, end, clock);
    }
    return true;
}

void key_table::finish_new(
    node_id const& from, key_completion const& end,
    clock_reading const& clock) {
    if (end.permission == 0 || end.how == outcome::not_run) {
        return;
    }
    entry* const made =
        make_entry(end.key, end.body_digest, end.idempotent, clock.wall);
    if (made == nullptr) {
        return;
    }
    made->record.entry = from;
    made->record.request = end.request;
    made->record.attempt = end.attempt;
    made->record.permission = end.permission;
    made->record.fencing = end.fencing;
    if (end.how == outcome::done) {
        complete(*made, end.answer);
    } else {
        become_unknown(*made, end.why);
    }
}

void key_table::finish_known(
    entry& known, node_id const& from, key_completion const& end,
    clock_reading const& clock) {
    std::erase_if(known.waiters, [&](waiter const& each) {
        return each.request == end.request && each.attempt == end.attempt;
    });
    key_record const& record = known.record;
    if (record.state == key_state::done) {
        return;
    }
    // Only the holder of the one permission can say that it was not used.
    bool const holder = holds(record, from, end.request, end.attempt);
    bool const open = record.state == key_state::running ||
                      record.state == key_state::unknown;
    if (end.how == outcome::done) {
        complete(known, end.answer);
    } else if (end.how == outcome::not_run && holder && open) {
        release(known, clock);
    } else if (end.how == outcome::unknown && holder && open) {
        become_unknown(known, end.why);
    }
}

void key_table::release(entry& known, clock_reading const& clock) {
    known.record.state = key_state::not_run;
    running_.erase(known.record.key);
    while (!known.waiters.empty()) {
        waiter const next = known.waiters.front();
        known.waiters.erase(known.waiters.begin());
        if (next.until > clock.now) {
            key_permission_request again;
            again.request = next.request;
            again.attempt = next.attempt;
            again.idempotent = known.record.idempotent;
            give(known, next.entry, again, clock.now);
            return;
        }
    }
}

void key_table::complete(entry& known, std::string const& answer) {
    known.record.state = key_state::done;
    known.record.why = reason::none;
    running_.erase(known.record.key);
    keep_answer(known, answer);
    answer_waiters(known);
}

void key_table::become_unknown(entry& known, reason why) {
    known.record.state = key_state::unknown;
    known.record.why = why;
    running_.erase(known.record.key);
    answer_waiters(known);
}

void key_table::answer_waiters(entry& known) {
    for (waiter const& each : std::exchange(known.waiters, {})) {
        if (known.record.state == key_state::done) {
            reply_done(each.entry, each.request, each.attempt, known);
            continue;
        }
        key_permission_request ask;
        ask.request = each.request;
        ask.attempt = each.attempt;
        // Idempotent work may run again: its entry node asks anew.
        bool const again = known.record.idempotent;
        reply(
            each.entry, ask,
            again ? key_verdict::refused : key_verdict::unknown,
            again ? reason::owner_unreachable : known.record.why);
    }
}

void key_table::keep_answer(entry& known, std::string const& answer) {
    if (answer.size() > settings_.longest_answer) {
        return;
    }
    known.record.answer = answer;
    known.record.answer_kept = true;
    memory_.add_answer(answer.size());
    answered_.push_back(known.record.key);
    while (memory_.answers_over() && !answered_.empty()) {
        auto const oldest = entries_.find(answered_.front());
        answered_.pop_front();
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

void key_table::heard(
    node_id const& from, running_key const& held, clock_reading const& clock) {
    auto const found = entries_.find(held.key);
    if (found != entries_.end()) {
        key_record& record = found->second.record;
        bool const open = record.state == key_state::running ||
                          record.state == key_state::unknown;
        if (open && holds(record, from, held.request, held.attempt)) {
            // A paused entry node came back and runs it still.
            record.state = key_state::running;
            running_.insert(record.key);
            found->second.last_heard = clock.now;
        }
        return;
    }
    entry* const made =
        make_entry(held.key, held.body_digest, held.idempotent, clock.wall);
    if (made != nullptr) {
        made->record.entry = from;
        made->record.request = held.request;
        made->record.attempt = held.attempt;
        made->record.permission = held.permission;
        made->record.fencing = held.fencing;
        made->last_heard = clock.now;
        running_.insert(held.key);
    }
}

void key_table::tick(clock_reading const& clock) {
    std::vector<idempotency_key> silent;
    for (idempotency_key const& key : running_) {
        instant const heard = entries_.at(key).last_heard;
        if (clock.now - heard > settings_.entry_timeout) {
            silent.push_back(key);
        }
    }
    for (idempotency_key const& key : silent) {
        become_unknown(entries_.at(key), reason::key_entry_lost);
    }
    forget_some(clock.wall);
}

void key_table::forget_some(wall_time now) {
    auto place = entries_.lower_bound(cursor_);
    for (std::size_t count = 0; count < looked_at_in_tick; ++count) {
        if (place == entries_.end()) {
            cursor_ = {};
            return;
        }
        key_record const& record = place->second.record;
        bool const running = record.state == key_state::running;
        if (!running && record.forget_after < now) {
            drop_answer(place->second);
            place = entries_.erase(place);
            memory_.drop_records(1);
        } else {
            ++place;
        }
    }
    cursor_ = place == entries_.end() ? idempotency_key() : place->first;
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
    // Twice the clock error: the next holder's clock may be slower than this
    // one's, and must refuse the key as too old before this one forgets it.
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

std::vector<addressed_reply> key_table::take_replies() {
    return std::exchange(replies_, {});
}

} // namespace camphorpoint
