#include "Fleet/fleet.hpp"

#include "Core/hash.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace {

/// How long word from an orderer counts more than the list: an entry is
/// written about every 1.2 s and read up to a second later.
constexpr duration word_outlasts_list = std::chrono::milliseconds(2'500);
/// Replicas keep copies of a hundred adapters and more in their memory; those
/// that lie there now are not counted here.
constexpr std::size_t most_kept = 100;
/// A gone replica is remembered for as long as requests may still run there.
constexpr duration memory_of_gone = std::chrono::seconds(60);
/// Streams take one to three seconds: older word says nothing of what runs now.
constexpr duration telling_ends = std::chrono::seconds(4);

} // namespace

std::uint64_t fleet::id_hash(endpoint_id const& id) {
    return hash_text(id.str());
}

void fleet::index() {
    by_service_.clear();
    by_short_name_.clear();
    for (auto& [id, each] : all_) {
        by_service_[each.record.service].push_back(&each);
        by_short_name_[id_hash(id)] = &each;
    }
}

void fleet::take_adapters(
    replica& target, replica_record const& record, instant now) {
    std::unordered_map<adapter_id, resident_adapter> next;
    for (adapter_ref const& each : record.adapters) {
        next[each.id] = {each.version, {}, false};
    }
    for (auto const& [id, held] : target.adapters) {
        if (held.confirmed_at != instant{} &&
            now < held.confirmed_at + word_outlasts_list) {
            next[id] = held;
        }
    }
    target.adapters = std::move(next);
}

bool fleet::started_again(replica const& known, replica_record const& now) {
    return known.record.started_at && now.started_at &&
           known.record.started_at != now.started_at;
}

void fleet::begin_anew(replica& target) {
    // This node's requests there end by themselves, as their connections break.
    unsigned const running = target.running_local;
    replica_record record = std::move(target.record);
    record.leaving = false;
    target = replica();
    target.record = std::move(record);
    target.running_local = running;
}

// Guards against a replica that has gone and stands in the list again, since
// the store has come back from a copy of before: it would get requests until
// its entry lapses a second time. One that is there writes its entry anew.
bool fleet::written_before(replica const& known, replica_record const& now) {
    bool const away = known.missing || known.missing_since != instant::max();
    return away && now.heartbeat != 0 &&
           now.heartbeat <= known.record.heartbeat;
}

fleet_change fleet::apply(replica_record const& record, instant now) {
    auto [place, fresh] = all_.try_emplace(record.id);
    replica& target = place->second;
    bool const again = started_again(target, record);
    if (!fresh && !again && written_before(target, record)) {
        return fleet_change::none;
    }
    if (again) {
        begin_anew(target);
    }
    bool const was_leaving = target.record.leaving;
    bool const moved = fresh || target.record.service != record.service;
    take_adapters(target, record, now);
    std::optional<incarnation> const born =
        record.started_at ? record.started_at : target.record.started_at;
    target.record = record;
    target.record.started_at = born;
    // A replica that has said that it leaves never stays after all.
    target.record.leaving = record.leaving || was_leaving;
    target.missing = false;
    target.missing_since = instant::max();
    if (record.remaining) {
        target.shutdown_at =
            std::min(target.shutdown_at, now + *record.remaining);
    }
    if (moved) {
        index();
    }
    if (fresh || again) {
        return record.leaving ? fleet_change::leaving : fleet_change::joined;
    }
    return target.record.leaving && !was_leaving ? fleet_change::leaving
                                                 : fleet_change::none;
}

fleet_change
fleet::mark_unlisted(endpoint_id const& id, bool keep, instant now) {
    replica* const target = find(id);
    if (target == nullptr || target->missing) {
        return fleet_change::none;
    }
    if (target->missing_since == instant::max()) {
        target->missing_since = now;
    }
    if (keep) {
        return fleet_change::none;
    }
    target->missing = true;
    return fleet_change::removed;
}

std::vector<endpoint_id> fleet::mark_unlisted_except(
    std::vector<endpoint_id> const& listed, bool keep, instant now) {
    std::vector<endpoint_id> gone;
    for (auto const& [id, each] : all_) {
        if (std::ranges::find(listed, id) == listed.end() &&
            mark_unlisted(id, keep, now) == fleet_change::removed) {
            gone.push_back(id);
        }
    }
    return gone;
}

std::vector<endpoint_id> fleet::expire_missing(bool store_stable, instant now) {
    std::vector<endpoint_id> gone;
    std::vector<endpoint_id> forgotten;
    for (auto& [id, each] : all_) {
        if (each.missing_since == instant::max()) {
            continue;
        }
        if (!each.missing && store_stable) {
            each.missing = true;
            gone.push_back(id);
        }
        if (each.missing && each.running_local == 0 &&
            now >= each.missing_since + memory_of_gone) {
            forgotten.push_back(id);
        }
    }
    for (endpoint_id const& id : forgotten) {
        all_.erase(id);
    }
    if (!forgotten.empty()) {
        index();
    }
    return gone;
}

void fleet::mark_resident(
    endpoint_id const& id, adapter_ref const& adapter, instant now) {
    if (replica* const target = find(id)) {
        target->adapters[adapter.id] = {adapter.version, now, false};
    }
}

void fleet::keep(replica& target, adapter_id const& adapter) {
    std::erase(target.cached_adapters, adapter);
    target.cached_adapters.push_back(adapter);
    if (target.cached_adapters.size() > most_kept) {
        target.cached_adapters.erase(target.cached_adapters.begin());
    }
}

void fleet::mark_unloading(
    endpoint_id const& id, adapter_id const& adapter, instant now) {
    if (replica* const target = find(id)) {
        keep(*target, adapter);
        resident_adapter& held = target->adapters[adapter];
        held.confirmed_at = now;
        held.unloading = true;
    }
}

void fleet::update_usage(
    std::uint64_t id_hash, replica_usage const& total, instant now) {
    replica* const target = find_by_hash(id_hash);
    if (target == nullptr) {
        return;
    }
    target->running_remote =
        total.running - std::min(total.running, target->running_local);
    double const here = target->local_backlog.remaining_tokens(now);
    target->remote_backlog.set(std::max(0.0, total.backlog_tokens - here), now);
    target->free_slots = total.free_slots;
    target->usage_received_at = now;
}

void fleet::expire_usage(instant now) {
    for (auto& [id, each] : all_) {
        std::erase_if(each.denials, [&](auto const& denied) {
            return now >= denied.second.until;
        });
        if (now >= each.usage_received_at + telling_ends) {
            each.running_remote = 0;
            each.remote_backlog = {};
        }
    }
}

void fleet::request_started(
    endpoint_id const& id, unsigned prompt_tokens, instant now) {
    if (replica* const target = find(id)) {
        ++target->running_local;
        target->local_backlog.add(prompt_tokens, now);
    }
}

void fleet::request_finished(endpoint_id const& id) {
    replica* const target = find(id);
    if (target != nullptr && target->running_local > 0) {
        --target->running_local;
    }
}

replica* fleet::find(endpoint_id const& id) {
    auto const found = all_.find(id);
    return found == all_.end() ? nullptr : &found->second;
}

replica const* fleet::find(endpoint_id const& id) const {
    auto const found = all_.find(id);
    return found == all_.end() ? nullptr : &found->second;
}

std::vector<replica*> const& fleet::of_service(service_id const& service) {
    return by_service_[service];
}

replica* fleet::find_by_hash(std::uint64_t name) {
    auto const found = by_short_name_.find(name);
    return found == by_short_name_.end() ? nullptr : found->second;
}

} // namespace camphorpoint
