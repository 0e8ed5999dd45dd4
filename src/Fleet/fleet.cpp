#include "Fleet/fleet.hpp"

#include "Core/hash.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace camphorpoint {

namespace {

/// How long a message from a replica's controller takes precedence over the
/// replica registry: a registry entry is written about every 1.2 s and read up
/// to a second later.
constexpr duration registry_override_period = std::chrono::milliseconds(2'500);
/// Replicas keep a hundred or more unloaded adapters in their memory. The
/// resident adapters are not part of this number.
constexpr std::size_t max_cached_adapters = 100;
/// Streams take one to three seconds, so an older message does not describe the
/// requests that run now.
constexpr duration remote_usage_lifetime = std::chrono::seconds(4);
/// A controller that takes over has learnt the pace of its replicas within this
/// time.
constexpr duration pace_lifetime = std::chrono::seconds(5);
/// Paces change within seconds, and a comparison visits all replicas of the
/// service: at 12,000 it takes a millisecond or more.
constexpr duration min_comparison_interval = std::chrono::milliseconds(200);
constexpr duration max_comparison_interval = std::chrono::seconds(2);
constexpr duration comparison_interval_per_replica =
    std::chrono::milliseconds(1);
/// A smaller difference changes no choice.
constexpr double min_slowdown_difference = 0.25;
/// The controller of a replica that is no longer brittle is told so at this
/// interval, for this long after an answer has last named it.
constexpr duration brittleness_end_interval = std::chrono::seconds(1);
constexpr duration brittleness_end_period = std::chrono::seconds(60);

void insert_by_id(std::vector<replica*>& into, replica& target) {
    auto const place = std::ranges::lower_bound(
        into, target.record.id, {},
        [](replica const* each) -> endpoint_id const& {
            return each->record.id;
        });
    into.insert(place, &target);
}

} // namespace

std::uint64_t fleet::id_hash(endpoint_id const& id) {
    return hash_text(id.str());
}

void fleet::add_to_service(replica& target) {
    insert_by_id(by_service_[target.record.service], target);
    by_hash_[id_hash(target.record.id)] = &target;
}

void fleet::remove_from_service(replica& target) {
    std::erase(by_service_[target.record.service], &target);
    by_hash_.erase(id_hash(target.record.id));
}

void fleet::index_adapter(adapter_id const& adapter, replica& target) {
    insert_by_id(by_adapter_[adapter], target);
}

void fleet::unindex_adapter(adapter_id const& adapter, replica& target) {
    auto const found = by_adapter_.find(adapter);
    std::erase(found->second, &target);
    if (found->second.empty()) {
        by_adapter_.erase(found);
    }
}

void fleet::unindex_adapters(replica& target) {
    for (auto const& [adapter, resident] : target.adapters) {
        unindex_adapter(adapter, target);
    }
}

resident_adapter&
fleet::adapter_entry(replica& target, adapter_id const& adapter) {
    auto const [entry, added] = target.adapters.try_emplace(adapter);
    if (added) {
        index_adapter(adapter, target);
    }
    return entry->second;
}

void fleet::forget(endpoint_id const& id) {
    auto const found = all_.find(id);
    unindex_adapters(found->second);
    remove_from_service(found->second);
    all_.erase(found);
}

void fleet::keep_former_software(replica_record const& former, instant now) {
    auto& versions = former_versions_[former.service];
    auto const found =
        std::ranges::find(versions, former.software, &former_software::version);
    if (found != versions.end()) {
        found->until = now;
    } else {
        versions.push_back({former.software, now});
    }
}

void fleet::expire_former_software(instant now) {
    for (auto& [service, versions] : former_versions_) {
        std::erase_if(versions, [&](former_software const& each) {
            return now >= each.until + removed_retention;
        });
    }
    std::erase_if(
        former_versions_, [](auto const& each) { return each.second.empty(); });
}

void fleet::apply_adapters(
    replica& target, replica_record const& record, instant now) {
    std::unordered_map<adapter_id, resident_adapter> updated;
    for (adapter_ref const& each : record.adapters) {
        updated[each.id] = {each.version, {}, false};
    }
    for (auto const& [id, resident] : target.adapters) {
        if (resident.confirmed_at != instant{} &&
            now < resident.confirmed_at + registry_override_period) {
            updated[id] = resident;
        }
    }
    for (auto const& [id, resident] : target.adapters) {
        if (!updated.contains(id)) {
            unindex_adapter(id, target);
        }
    }
    for (auto const& [id, resident] : updated) {
        if (!target.adapters.contains(id)) {
            index_adapter(id, target);
        }
    }
    target.adapters = std::move(updated);
}

bool fleet::has_restarted(replica const& known, replica_record const& record) {
    bool const other_start = known.record.started_at && record.started_at &&
                             known.record.started_at != record.started_at;
    bool const other_software = !known.record.software.empty() &&
                                known.record.software != record.software;
    return other_start || other_software;
}

void fleet::reset_after_restart(replica& target) {
    // This node's requests at the earlier process complete on their own when
    // their connections break.
    unindex_adapters(target);
    unsigned const running = target.running_local;
    replica_record record = std::move(target.record);
    record.leaving = false;
    target = replica();
    target.record = std::move(record);
    target.running_local = running;
}

// Guards against a replica that is gone but listed again because the store was
// restored from an older snapshot: it would get requests until its entry
// expires a second time. A replica that is still there writes a newer entry.
bool fleet::is_stale_record(
    replica const& known, replica_record const& record) {
    bool const unlisted =
        known.missing || known.missing_since != instant::max();
    return unlisted && record.heartbeat != 0 &&
           record.heartbeat <= known.record.heartbeat;
}

fleet_change fleet::apply(replica_record const& record, instant now) {
    auto [entry, inserted] = all_.try_emplace(record.id);
    replica& target = entry->second;
    bool const restarted = has_restarted(target, record);
    if (!inserted && !restarted && is_stale_record(target, record)) {
        return fleet_change::none;
    }
    if (!inserted && (target.record.software != record.software ||
                      target.record.service != record.service)) {
        keep_former_software(target.record, now);
    }
    if (restarted) {
        reset_after_restart(target);
    }
    // Guards against a node that keeps the replica, finds nothing new in its
    // entry and does not broadcast it: nodes that have started or dropped the
    // replica meanwhile would not learn of it.
    bool const returned = target.missing_since != instant::max();
    bool const was_leaving = target.record.leaving;
    bool const service_changed =
        inserted || target.record.service != record.service;
    if (service_changed && !inserted) {
        remove_from_service(target);
    }
    std::optional<incarnation> const started =
        record.started_at ? record.started_at : target.record.started_at;
    target.record = record;
    if (service_changed) {
        add_to_service(target);
    }
    apply_adapters(target, record, now);
    target.record.started_at = started;
    // A replica that has announced its shutdown never withdraws it.
    target.record.leaving = record.leaving || was_leaving;
    target.missing = false;
    target.missing_since = instant::max();
    if (record.remaining) {
        target.shutdown_at =
            std::min(target.shutdown_at, now + *record.remaining);
    }
    if (inserted || restarted || returned) {
        return target.record.leaving ? fleet_change::leaving
                                     : fleet_change::joined;
    }
    return target.record.leaving && !was_leaving ? fleet_change::leaving
                                                 : fleet_change::none;
}

fleet_change
fleet::mark_unlisted(endpoint_id const& id, bool keep_in_use, instant now) {
    replica* const target = find(id);
    if (target == nullptr || target->missing) {
        return fleet_change::none;
    }
    if (target->missing_since == instant::max()) {
        target->missing_since = now;
    }
    if (keep_in_use) {
        return fleet_change::none;
    }
    target->missing = true;
    return fleet_change::removed;
}

std::vector<endpoint_id> fleet::mark_unlisted_except(
    std::vector<endpoint_id> const& listed, bool keep_in_use, instant now) {
    std::unordered_set<endpoint_id> const present(listed.begin(), listed.end());
    std::vector<endpoint_id> gone;
    for (auto const& [id, each] : all_) {
        if (!present.contains(id) &&
            mark_unlisted(id, keep_in_use, now) == fleet_change::removed) {
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
            now >= each.missing_since + removed_retention) {
            forgotten.push_back(id);
        }
    }
    for (endpoint_id const& id : forgotten) {
        forget(id);
    }
    expire_former_software(now);
    return gone;
}

void fleet::mark_resident(
    endpoint_id const& id, adapter_ref const& adapter, instant now) {
    if (replica* const target = find(id)) {
        adapter_entry(*target, adapter.id) = {adapter.version, now, false};
    }
}

void fleet::add_cached(replica& target, adapter_id const& adapter) {
    std::erase(target.cached_adapters, adapter);
    target.cached_adapters.push_back(adapter);
    if (target.cached_adapters.size() > max_cached_adapters) {
        target.cached_adapters.erase(target.cached_adapters.begin());
    }
}

void fleet::mark_unloading(
    endpoint_id const& id, adapter_id const& adapter, instant now) {
    if (replica* const target = find(id)) {
        add_cached(*target, adapter);
        resident_adapter& resident = adapter_entry(*target, adapter);
        resident.confirmed_at = now;
        resident.unloading = true;
    }
}

void fleet::update_usage(
    std::uint64_t replica_hash, replica_usage const& total, instant now) {
    replica* const target = find_by_hash(replica_hash);
    if (target == nullptr) {
        return;
    }
    target->running_remote =
        total.running - std::min(total.running, target->running_local);
    double const local_tokens = target->local_backlog.remaining_tokens(now);
    target->remote_backlog.set(
        std::max(0.0, total.backlog_tokens - local_tokens), now);
    target->free_slots = total.free_slots;
    if (target->condition.avoided && total.condition.readmitted) {
        // What this node has seen itself describes the replica as it was. A
        // controller that has just taken over says nothing about that.
        target->health = {};
    }
    target->condition = total.condition;
    // A replica that this node suspects is tried only when it is avoided: an
    // idle one with a few failures can wait until the suspicion ends.
    bool const may_try =
        total.condition.avoided || !target->health.suspected(now);
    if (total.condition.probe_permitted && may_try) {
        target->probe_until = now + probe_permission_lifetime;
    }
    target->usage_received_at = now;
    adopt_condition(*target, total.condition, now);
    refresh_speeds(target->record.service, now);
}

void fleet::adopt_condition(
    replica& target, replica_condition const& of, instant now) {
    // A controller that has just taken over knows nothing yet.
    bool const known = of.event_interval > duration::zero() ||
                       of.token_time > duration::zero();
    if (known || now >= target.pace_told_at + pace_lifetime) {
        target.pace = {of.event_interval, of.token_time};
        target.pace_told_at = known ? now : target.pace_told_at;
    }
    if (of.slowdown_age > duration::zero() || of.slowdown != 1) {
        target.slowdown.set(of.slowdown, now - of.slowdown_age);
    }
}

void fleet::refresh_speeds(service_id const& service, instant now) {
    instant& next = next_comparison_[service];
    if (now < next) {
        return;
    }
    auto const& members = of_service(service);
    next = now + std::clamp<duration>(
                     comparison_interval_per_replica * members.size(),
                     min_comparison_interval, max_comparison_interval);
    std::vector<pace_measure> measures;
    measures.reserve(members.size());
    for (replica const* const each : members) {
        measures.push_back(each->pace);
    }
    service_pace const common(measures);
    for (replica* const each : members) {
        each->speed = common.speed(each->pace);
        each->local_backlog.set_token_time(each->speed.token_time, now);
        each->remote_backlog.set_token_time(each->speed.token_time, now);
    }
}

bool fleet::note_slowdown(endpoint_id const& id, double factor, instant now) {
    replica* const target = find(id);
    if (target == nullptr) {
        return false;
    }
    factor = std::clamp(factor, 1.0, machine_slowdown::max_factor);
    double const known = target->slowdown.factor(now);
    bool const differs =
        std::abs(factor - known) > min_slowdown_difference * known;
    // What the controller was told ends unless it is repeated.
    bool const fades =
        factor > 1 + min_slowdown_difference &&
        now >= target->slowdown_told_at + machine_slowdown::lifetime / 2;
    target->slowdown.set(factor, now);
    if (differs || fades) {
        target->slowdown_told_at = now;
    }
    return differs || fades;
}

bool fleet::limit_rate(
    endpoint_id const& id, double per_second, instant named_at) {
    replica* const target = find(id);
    if (target == nullptr || named_at <= target->unlimited_at) {
        return false;
    }
    std::optional<replica_rate_limit>& limit = target->rate_limit;
    if (limit && named_at < limit->named_at) {
        return false;
    }
    bool const changed = !limit || limit->per_second != per_second;
    limit = replica_rate_limit{per_second, named_at};
    return changed;
}

bool fleet::lift_rate_limit(endpoint_id const& id, instant sent_at) {
    replica* const target = find(id);
    if (target == nullptr) {
        return false;
    }
    target->unlimited_at = std::max(target->unlimited_at, sent_at);
    if (!target->rate_limit || sent_at <= target->rate_limit->named_at) {
        return false;
    }
    target->rate_limit.reset();
    target->permit_from = instant();
    return true;
}

bool fleet::mark_brittle(
    service_id const& service, unsigned max_rejections, instant named_at) {
    auto const [entry, added] = brittle_services_.try_emplace(service);
    service_brittleness& known = entry->second;
    if (!added && named_at < known.named_at) {
        return false;
    }
    bool const lifted =
        std::ranges::any_of(of_service(service), [&](replica const* each) {
            return each->not_brittle_at > known.named_at;
        });
    known = {max_rejections, named_at};
    return added || lifted;
}

bool fleet::clear_brittle(endpoint_id const& id, instant sent_at) {
    replica* const target = find(id);
    if (target == nullptr) {
        return false;
    }
    bool const was_brittle = is_brittle(*target);
    target->not_brittle_at = std::max(target->not_brittle_at, sent_at);
    return was_brittle && !is_brittle(*target);
}

bool fleet::begin_telling_brittleness_end(
    endpoint_id const& id, bool news, instant now) {
    replica* const target = find(id);
    if (target == nullptr || is_brittle(*target)) {
        return false;
    }
    auto const found = brittle_services_.find(target->record.service);
    bool const recent = found != brittle_services_.end() &&
                        now < found->second.named_at + brittleness_end_period;
    bool const due =
        now >= target->brittleness_end_told_at + brittleness_end_interval;
    if (!recent || !(news || due)) {
        return false;
    }
    target->brittleness_end_told_at = now;
    return true;
}

std::optional<service_brittleness> fleet::brittleness(replica const& of) const {
    auto const found = brittle_services_.find(of.record.service);
    bool const brittle = found != brittle_services_.end() &&
                         !not_brittle_since(of, found->second.named_at);
    return brittle ? std::optional(found->second) : std::nullopt;
}

bool fleet::mark_leaving(
    endpoint_id const& id, std::optional<incarnation> process) {
    replica* const target = find(id);
    if (target == nullptr || target->record.leaving) {
        return false;
    }
    std::optional<incarnation> const& known = target->record.started_at;
    if (process && known && *process != *known) {
        return false;
    }
    target->record.leaving = true;
    return true;
}

void fleet::mark_resting(endpoint_id const& id, instant until) {
    if (replica* const target = find(id)) {
        target->resting_until = std::max(target->resting_until, until);
    }
}

void fleet::mark_heard(endpoint_id const& id, instant now) {
    if (replica* const target = find(id)) {
        target->heard_at = now;
    }
}

void fleet::mark_stalled(endpoint_id const& id, instant now) {
    if (replica* const target = find(id)) {
        target->stalled_at = now;
    }
}

std::uint64_t fleet::attempt_sent(endpoint_id const& id) {
    ++last_attempt_;
    if (replica* const target = find(id)) {
        target->unanswered[last_attempt_] = std::nullopt;
    }
    return last_attempt_;
}

void fleet::attempt_heard(
    endpoint_id const& id, std::uint64_t number, instant now) {
    replica* const target = find(id);
    if (target == nullptr) {
        return;
    }
    target->heard_at = now;
    auto& all = target->unanswered;
    for (auto each = all.upper_bound(number); each != all.end(); ++each) {
        each->second = now;
    }
}

void fleet::attempt_answered(endpoint_id const& id, std::uint64_t number) {
    if (replica* const target = find(id)) {
        target->unanswered.erase(number);
    }
}

std::optional<instant>
fleet::heard_before(endpoint_id const& id, std::uint64_t number) const {
    replica const* const target = find(id);
    if (target == nullptr || !target->unanswered.contains(number)) {
        return std::nullopt;
    }
    return target->unanswered.at(number);
}

void fleet::mark_unanswered(endpoint_id const& id, instant until) {
    if (replica* const target = find(id)) {
        target->unanswered_until = until;
    }
}

void fleet::expire_usage(instant now) {
    for (auto& [id, each] : all_) {
        std::erase_if(each.load_rejections, [&](auto const& denied) {
            return now >= denied.second.until;
        });
        if (now >= each.usage_received_at + remote_usage_lifetime) {
            each.running_remote = 0;
            each.remote_backlog.set(0, now);
        }
    }
}

bool fleet::request_started(
    endpoint_id const& id, unsigned prompt_tokens, instant now) {
    replica* const target = find(id);
    if (target == nullptr) {
        return false;
    }
    if (target->running_local == 0) {
        target->in_use_since = now;
    }
    ++target->running_local;
    target->local_backlog.add(prompt_tokens, now);
    bool const probe = target->probe_permitted(now);
    target->probe_until = {};
    return probe;
}

void fleet::clear_suspicions() {
    for (auto& [id, each] : all_) {
        each.health.clear_suspicion();
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

std::vector<former_software> const&
fleet::former_versions(service_id const& service) const {
    static std::vector<former_software> const none;
    auto const found = former_versions_.find(service);
    return found == former_versions_.end() ? none : found->second;
}

std::vector<replica*> const&
fleet::with_adapter(adapter_id const& adapter) const {
    static std::vector<replica*> const none;
    auto const found = by_adapter_.find(adapter);
    return found == by_adapter_.end() ? none : found->second;
}

replica* fleet::find_by_hash(std::uint64_t hash) {
    auto const found = by_hash_.find(hash);
    return found == by_hash_.end() ? nullptr : found->second;
}

} // namespace camphorpoint
