#include "Ownership/ownership_manager.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace camphorpoint {

ownership_manager::ownership_manager(
    ownership_settings settings, node_run self, std::mt19937_64 random)
    : settings_(settings)
    , self_(std::move(self))
    , random_(random)
    , follower_(settings.poll)
    // The first number is at most half of the range, so the counter cannot wrap
    // around.
    , appends_(random_() / 2)
    , handovers_(settings) {}

void ownership_manager::on_tick(instant now) {
    if (follower_.begin_read(now)) {
        actions_.push_back(control_read{follower_.next()});
    }
    appends_.expire(settings_.append_limit, now);
    update_awaits_transfer(now);
    report_lapse(now);
    report_gained(now);
    run_handovers(now);
    if (!log_is_current(now)) {
        return;
    }
    rank_pending(now);
    claim_due(now);
    renew(now);
    rebalance(now);
}

void ownership_manager::start_drain(instant now) {
    if (draining_) {
        return;
    }
    draining_ = true;
    takeovers_.clear();
    update_awaits_transfer(now);
    rank_live();
    for (auto const& [resource, held] : holdings_) {
        begin_handover(resource, ranking_.first(resource), now);
    }
}

// Prevents a node from shutting down after it has accepted the state of a
// resource but before it has read the release that names it as owner. The
// resource would then belong to a stopped node, and its state would be lost.
// After the sum of these limits the sender has abandoned the handover.
void ownership_manager::update_awaits_transfer(instant now) {
    duration const longest = duration(settings_.accept_limit) +
                             settings_.append_limit + settings_.read_lag +
                             settings_.poll;
    awaits_transfer_ =
        std::ranges::any_of(accepted_offers_, [&](auto const& each) {
            return now < each.second.received + longest;
        });
}

bool ownership_manager::drained() const noexcept {
    return draining_ && holdings_.empty() && appends_.empty() &&
           !awaits_transfer_;
}

std::vector<ownership_action> ownership_manager::take_actions() {
    return std::exchange(actions_, {});
}

// Prevents a holder that was paused or cut off from the log past its lease from
// sending commands at the same time as its successor. The span counts from the
// start of a read that showed no newer claim, and the wait of the successor
// starts only after its claim was appended, so the two periods cannot overlap.
// The sender of a command must check not_after again, because the process may
// be paused right after this function returns.
std::optional<authority> ownership_manager::authority_within(
    resource_id const& resource, duration span, instant now) const {
    auto const found = holdings_.find(resource);
    if (found == holdings_.end() || !found->second.reported) {
        return std::nullopt;
    }
    if (now < found->second.effective_from || handovers_.is_moving(resource)) {
        return std::nullopt;
    }
    std::optional<instant> const fresh = follower_.fresh_as_of();
    if (!fresh || now >= *fresh + span) {
        return std::nullopt;
    }
    return authority{found->second.fencing, *fresh + span};
}

std::optional<authority> ownership_manager::authority_for(
    resource_id const& resource, instant now) const {
    return authority_within(resource, settings_.lease, now);
}

std::optional<authority> ownership_manager::load_authority(
    resource_id const& resource, bool engine_checks, instant now) const {
    duration const span =
        engine_checks ? settings_.grant_lease : settings_.lease;
    return authority_within(resource, span, now);
}

std::optional<authority> ownership_manager::evict_authority(
    resource_id const& resource, instant now) const {
    auto const found = holdings_.find(resource);
    if (found == holdings_.end() || now < found->second.evict_from) {
        return std::nullopt;
    }
    return authority_within(resource, settings_.lease, now);
}

std::optional<authority> ownership_manager::grant_authority(
    resource_id const& resource, instant now) const {
    return authority_within(resource, settings_.grant_lease, now);
}

std::optional<owner_info>
ownership_manager::owner_of(resource_id const& resource) const {
    ownership_entry const* entry = table_.find(resource);
    if (entry == nullptr || !entry->owned()) {
        return std::nullopt;
    }
    return owner_info{entry->owner, entry->fencing};
}

bool ownership_manager::fallback_allowed(
    resource_id const& resource, instant now) const {
    if (!settings_.engines_refuse_busy_evictions || log_is_current(now)) {
        return false;
    }
    ownership_entry const* entry = table_.find(resource);
    return entry != nullptr && !(entry->owned() && is_live(entry->owner));
}

bool ownership_manager::log_is_current(instant now) const {
    std::optional<instant> const fresh = follower_.fresh_as_of();
    return fresh && now < *fresh + settings_.lease;
}

void ownership_manager::report_gained(instant now) {
    std::vector<resource_id> ready;
    for (resource_id const& each : pending_gains_) {
        if (now >= holdings_[each].effective_from && log_is_current(now)) {
            ready.push_back(each);
        }
    }
    for (resource_id const& each : ready) {
        pending_gains_.erase(each);
        holding& held = holdings_[each];
        held.reported = true;
        emit_log(
            event_code::ownership_gained, log_level::info,
            fmt::format(
                "resource={} fencing={} planned={}", to_string(each),
                held.fencing.value, held.planned));
        actions_.push_back(ownership_gained{
            each, held.fencing, held.effective_from, held.evict_from,
            held.planned, held.first, std::exchange(held.table, {}),
            held.previous});
        if (draining_) {
            begin_handover(each, ranking_.first(each), now);
        }
    }
}

void ownership_manager::report_lapse(instant now) {
    bool const lapsed = !log_is_current(now);
    if (lapsed == lapsed_) {
        return;
    }
    lapsed_ = lapsed;
    emit_log(
        lapsed ? event_code::authority_lapsed : event_code::authority_regained,
        lapsed ? log_level::warning : log_level::info,
        fmt::format("held={}", holdings_.size()));
}

void ownership_manager::append(control_record record, instant now) {
    record.writer = self_;
    std::uint64_t const number = appends_.begin(record, now);
    record.append = number;
    actions_.push_back(control_append{number, encode_control_record(record)});
}

void ownership_manager::emit_log(
    event_code code, log_level level, std::string detail) {
    actions_.push_back(log_event{code, level, std::move(detail)});
}

} // namespace camphorpoint
