#include "ReplicaControl/slot_tracker.hpp"

#include <algorithm>
#include <tuple>

namespace camphorpoint {

namespace {

/// A want that nobody has repeated for so long is dropped: those who waited
/// have gone elsewhere. Nodes repeat theirs about every 300 ms.
constexpr duration want_lasts = std::chrono::milliseconds(1'200);

} // namespace

void slot_tracker::request_load(
    adapter_ref const& adapter, load_priority kind, instant now) {
    if (ready(adapter)) {
        return;
    }
    auto const [place, added] = wants_.try_emplace(adapter.id);
    wanted& of = place->second;
    if (added) {
        of.first = now;
        of.kept = kept(adapter.id);
    }
    of.version = std::max(of.version, adapter.version);
    of.last = now;
    of.kind = std::min(of.kind, kind);
}

bool slot_tracker::has_capacity_for(
    adapter_id const& adapter, instant now) const {
    if (!known_ || slots_.contains(adapter) || wants_.contains(adapter) ||
        slots_.size() < limits_.slots) {
        return true;
    }
    return free_slots(now) > wants_.size();
}

unsigned slot_tracker::free_slots(instant now) const {
    auto const used_slots = std::ranges::count_if(slots_, [&](auto const& at) {
        slot const& of = at.second;
        bool const goes = of.state == slot_state::dropping;
        bool const rests = of.state == slot_state::resident &&
                           resting(of, now) && !wants_.contains(at.first);
        return !goes && !rests;
    });
    return limits_.slots -
           std::min(limits_.slots, static_cast<unsigned>(used_slots));
}

int slot_tracker::available_slots(instant now) const {
    auto const waiting = std::ranges::count_if(wants_, [&](auto const& each) {
        return each.second.kind != load_priority::prefetch &&
               !command_pending(each.first);
    });
    return static_cast<int>(free_slots(now)) - static_cast<int>(waiting);
}

bool slot_tracker::kept(adapter_id const& id) const {
    return std::ranges::find(recent_, id) != recent_.end();
}

duration slot_tracker::load_time(adapter_id const& id) const {
    return kept(id) ? limiter_->cached_duration()
                    : limiter_->typical_duration();
}

duration slot_tracker::expected_wait(
    adapter_ref const& adapter, load_priority kind, instant now) const {
    if (ready(adapter)) {
        return duration::zero();
    }
    duration const load = load_time(adapter.id);
    auto const own = slots_.find(adapter.id);
    if (own != slots_.end() && own->second.state == slot_state::loading) {
        return std::max(own->second.since + load - now, duration::zero());
    }
    slot_outlook by;
    by.free = free_slots(now);
    by.release_pause = releases_.pause(now);
    by.load = load;
    by.at_once = limiter_->loads_per_replica();
    wanted asked;
    asked.kind = kind;
    asked.kept = kept(adapter.id);
    asked.first = instant::max();
    // Who asks for what others wait for already shares their place.
    auto const queued = wants_.find(adapter.id);
    if (queued != wants_.end()) {
        asked.kind = std::min(kind, queued->second.kind);
        asked.first = queued->second.first;
    }
    for (auto const& [id, each] : wants_) {
        auto const slot_of = slots_.find(id);
        bool const loads = slot_of != slots_.end() &&
                           slot_of->second.state == slot_state::loading;
        if (id == adapter.id || loads || !goes_before(each, asked)) {
            continue;
        }
        ++by.ahead;
        by.loads_ahead += load_time(id);
    }
    return expected_ready(by);
}

std::optional<duration> slot_tracker::refused_wait(
    adapter_ref const& adapter, load_priority kind, duration patience,
    instant now) const {
    duration const wait = expected_wait(adapter, kind, now);
    // Guards against forecasts that forbid what would correct them: where loads
    // are believed to take too long, none would be ordered, and none would show
    // that they do not. Where they really do, no adapter would ever come. With
    // a slot and the way free it is nowhere ready sooner.
    bool const at_once = available_slots(now) > 0 && limiter_->may_begin();
    bool const taken = kind == load_priority::prefetch
                           ? has_capacity_for(adapter.id, now)
                           : at_once || wait <= patience;
    return taken ? std::nullopt : std::optional(wait);
}

void slot_tracker::record_use(
    adapter_id const& adapter, bool running, instant now) {
    auto const found = slots_.find(adapter);
    if (found == slots_.end()) {
        return;
    }
    slot& of = found->second;
    of.last_used = now;
    of.busy_until =
        now + (running ? limits_.use_timeout : limits_.cooldown_after_use);
    if (!running) {
        releases_.note(now);
    }
}

void slot_tracker::forget_old_wants(instant now) {
    std::erase_if(wants_, [&](auto const& each) {
        return now >= each.second.last + want_lasts;
    });
}

bool slot_tracker::resting(slot const& of, instant now) {
    return now >= of.busy_until;
}

bool slot_tracker::goes_before(wanted const& left, wanted const& right) {
    // A kept copy comes in a tenth of the time and holds up nobody.
    return std::tuple(left.kind, !left.kept, left.first) <
           std::tuple(right.kind, !right.kept, right.first);
}

std::optional<adapter_id> slot_tracker::first_want(instant now) const {
    std::optional<adapter_id> best;
    wanted const* best_want = nullptr;
    for (auto const& [id, each] : wants_) {
        auto const slot_of = slots_.find(id);
        // A replacement waits for the adapter's runs, and the replica takes no
        // other order meanwhile: one that is in use stays as it is, and the
        // new version comes to another replica.
        bool const in_the_way =
            slot_of != slots_.end() &&
            (slot_of->second.state != slot_state::resident ||
             !resting(slot_of->second, now));
        if (in_the_way) {
            continue;
        }
        if (best_want == nullptr || goes_before(each, *best_want)) {
            best = id;
            best_want = &each;
        }
    }
    return best;
}

std::optional<adapter_id> slot_tracker::victim(instant now) const {
    std::optional<adapter_id> best;
    slot const* best_slot = nullptr;
    for (auto const& [id, each] : slots_) {
        // As with replacements: what is in use would hold up every order.
        if (each.state != slot_state::resident || wants_.contains(id) ||
            !resting(each, now)) {
            continue;
        }
        if (best_slot == nullptr || each.last_used < best_slot->last_used) {
            best = id;
            best_slot = &each;
        }
    }
    return best;
}

} // namespace camphorpoint
