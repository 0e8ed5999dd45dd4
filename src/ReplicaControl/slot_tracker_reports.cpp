#include "ReplicaControl/slot_tracker.hpp"

#include <algorithm>

namespace camphorpoint {

namespace {

/// A report shows the state of some hundred milliseconds ago.
constexpr duration min_report_interval = std::chrono::milliseconds(60);
/// Maximum age of a report.
constexpr duration max_report_age = std::chrono::milliseconds(600);
/// A load that no report shows for this long has been lost, for instance
/// because the command arrived late and was refused.
constexpr duration load_timeout = std::chrono::seconds(5);

} // namespace

bool slot_tracker::report_due(instant now) const {
    if (now < next_report_at_) {
        return false;
    }
    if (!has_report_ || report_required_ || busy_ || model_loading_) {
        return true;
    }
    return false;
}

void slot_tracker::require_report() noexcept {
    report_required_ = true;
    next_report_at_ = {};
}

void slot_tracker::on_report_failed(instant now) {
    next_report_at_ = now + report_retry_delay;
}

void slot_tracker::adopt_resident(adapter_ref const& each, instant now) {
    auto const [it, inserted] = slots_.try_emplace(each.id);
    slot& entry = it->second;
    if (inserted) {
        entry.since = now;
        entry.last_used = now;
        entry.reported_from = sequence_;
        // Nodes that use the adapter report it again within this time.
        entry.busy_until = now + limits_.use_timeout;
        set_ready(each.id, entry, each.version, now);
        return;
    }
    if (entry.state == slot_state::resident && entry.version == 0) {
        // The adapter was loaded without a version; the report names the one.
        entry.version = each.version;
        changes_.push_back({each, true});
        return;
    }
    bool const load_completed =
        entry.state == slot_state::loading && each.version >= entry.version;
    if (load_completed || entry.state == slot_state::resident) {
        if (load_completed || entry.version != each.version) {
            set_ready(each.id, entry, each.version, now);
        }
    }
}

void slot_tracker::reset_after_restart() {
    for (auto& [id, entry] : slots_) {
        if (entry.state == slot_state::resident) {
            changes_.push_back({{id, entry.version}, false});
        }
        finish_load(entry);
    }
    slots_.clear();
    cached_adapters_.clear();
    unanswered_command_.reset();
    unanswered_attempts_ = 0;
    model_loading_ = false;
    has_report_ = false;
}

void slot_tracker::apply_report(replica_report const& report, instant now) {
    next_report_at_ = now + min_report_interval;
    if (incarnation_ && report.started_at &&
        report.started_at != incarnation_) {
        reset_after_restart();
    }
    incarnation_ = report.started_at ? report.started_at : incarnation_;
    if (has_report_ && report.sequence < sequence_ &&
        now < last_accepted_at_ + max_report_age) {
        // The report is older than the newest accepted command and cannot show
        // its effect.
        return;
    }
    sequence_ = report.sequence;
    has_report_ = true;
    report_required_ = false;
    unanswered_command_.reset();
    busy_ = report.busy;
    models_ = report.models;
    model_loading_ = model_loading_ && models_.empty() &&
                     now < model_commanded_at_ + load_timeout;
    for (adapter_ref const& each : report.pending) {
        auto const [it, inserted] = slots_.try_emplace(each.id);
        if (inserted) {
            it->second.version = each.version;
            it->second.state = slot_state::loading;
            it->second.since = now;
            it->second.last_used = now;
            it->second.check_at = now;
            it->second.reported_from = sequence_;
        }
    }
    for (adapter_ref const& each : report.adapters) {
        adopt_resident(each, now);
    }
    remove_unreported(report, now);
}

void slot_tracker::remove_unreported(
    replica_report const& report, instant now) {
    auto const is_reported = [&](adapter_id const& id) {
        auto const same = [&](adapter_ref const& each) {
            return each.id == id;
        };
        return std::ranges::any_of(report.adapters, same) ||
               std::ranges::any_of(report.pending, same);
    };
    for (auto each = slots_.begin(); each != slots_.end();) {
        slot& entry = each->second;
        bool const may_be_unreported =
            entry.state == slot_state::loading &&
            now < entry.since + limiter_->first_check_delay();
        if (report.sequence < entry.reported_from || is_reported(each->first) ||
            may_be_unreported) {
            ++each;
            continue;
        }
        if (entry.state != slot_state::unloading) {
            changes_.push_back({{each->first, entry.version}, false});
        }
        finish_load(entry);
        each = slots_.erase(each);
    }
}

} // namespace camphorpoint
