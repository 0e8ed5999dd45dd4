#include "Scheduling/slot_table.hpp"

#include <algorithm>

namespace camphorpoint::internal {

namespace {

/// Upper bound of the age of an engine's report.
constexpr std::chrono::seconds max_report_lag{30};

} // namespace

slot* slot_table::find(adapter_ref const& adapter) {
    auto const known = slots_.find(adapter);
    return known == slots_.end() ? nullptr : &known->second;
}

slot const* slot_table::find(adapter_ref const& adapter) const {
    auto const known = slots_.find(adapter);
    return known == slots_.end() ? nullptr : &known->second;
}

slot& slot_table::insert(adapter_ref const& adapter, slot const& value) {
    return slots_.insert_or_assign(adapter, value).first->second;
}

void slot_table::erase(adapter_ref const& adapter, instant now) {
    slots_.erase(adapter);
    freed_.insert_or_assign(adapter, now);
}

void slot_table::clear() {
    slots_.clear();
    freed_.clear();
    in_use_.clear();
    measured_.reset();
}

std::size_t slot_table::count(slot_phase phase) const {
    auto const matches = std::ranges::count_if(
        slots_, [&](auto const& each) { return each.second.phase == phase; });
    return static_cast<std::size_t>(matches);
}

std::vector<slot_change> slot_table::on_report(
    engine_report const& report, instant measured, instant now) {
    std::vector<slot_change> changes;
    if (measured_ && measured < *measured_) {
        return changes;
    }
    measured_ = measured;
    in_use_ = {report.in_use.begin(), report.in_use.end()};
    std::set<adapter_ref> const resident(
        report.resident.begin(), report.resident.end());
    std::set<adapter_ref> const loading(
        report.loading.begin(), report.loading.end());
    correct_known(resident, loading, changes, now);
    add_unknown(report.resident, slot_phase::resident, changes, now);
    add_unknown(report.loading, slot_phase::loading, changes, now);
    std::erase_if(freed_, [&](auto const& each) {
        return now - each.second > max_report_lag;
    });
    return changes;
}

void slot_table::correct_known(
    std::set<adapter_ref> const& resident, std::set<adapter_ref> const& loading,
    std::vector<slot_change>& changes, instant now) {
    for (auto each = slots_.begin(); each != slots_.end();) {
        auto const& adapter = each->first;
        auto const change = classify(
            each->second, resident.contains(adapter),
            loading.contains(adapter));
        if (!change) {
            ++each;
            continue;
        }
        changes.push_back({*change, adapter, each->second});
        bool const stays = *change == slot_change::kind::appeared ||
                           *change == slot_change::kind::evict_lost;
        if (stays) {
            each->second = {
                .phase = slot_phase::resident,
                .since = *measured_,
                .idle_since = each->second.idle_since};
            ++each;
        } else {
            freed_.insert_or_assign(adapter, now);
            each = slots_.erase(each);
        }
    }
}

std::optional<slot_change::kind>
slot_table::classify(slot const& each, bool resident, bool loading) const {
    using kind = slot_change::kind;
    bool const no_command = each.phase == slot_phase::resident ||
                            each.phase == slot_phase::draining;
    if (no_command) {
        bool const gone = !resident && *measured_ >= each.since;
        return gone ? std::optional(kind::vanished) : std::nullopt;
    }
    // While the result of a command is pending, the report provides no
    // information beyond that result.
    if (!each.result_lost_at || *measured_ < *each.result_lost_at) {
        return std::nullopt;
    }
    // Until its time limit, a command whose result was lost may still be in
    // transit to the engine. If an eviction were declared lost earlier, it
    // could hit a request that was granted in the meantime.
    bool const too_late = *measured_ >= each.command_not_after;
    if (each.phase == slot_phase::evicting) {
        if (!resident) {
            return kind::vanished;
        }
        return too_late ? std::optional(kind::evict_lost) : std::nullopt;
    }
    if (resident) {
        return kind::appeared;
    }
    bool const not_loaded = too_late && !loading;
    return not_loaded ? std::optional(kind::load_lost) : std::nullopt;
}

void slot_table::add_unknown(
    std::vector<adapter_ref> const& found, slot_phase phase,
    std::vector<slot_change>& changes, instant now) {
    for (adapter_ref const& adapter : found) {
        auto const freed = freed_.find(adapter);
        bool const outdated =
            freed != freed_.end() && *measured_ < freed->second;
        if (outdated || slots_.contains(adapter)) {
            continue;
        }
        slot value{.phase = phase, .since = *measured_};
        if (phase == slot_phase::resident) {
            changes.push_back({slot_change::kind::appeared, adapter, value});
        } else {
            // The load was commanded by a former owner, which receives its
            // result.
            value.commanded_at = now;
            value.result_lost_at = now;
        }
        slots_.emplace(adapter, value);
    }
}

bool slot_table::reported_idle(
    adapter_ref const& adapter, instant since) const {
    return measured_ && *measured_ >= since && !in_use_.contains(adapter);
}

} // namespace camphorpoint::internal
