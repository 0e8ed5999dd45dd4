#include "ReplicaControl/slot_tracker.hpp"

#include <algorithm>

namespace camphorpoint {

namespace {

/// A report shows the state of some hundred milliseconds ago.
constexpr duration report_pause = std::chrono::milliseconds(60);
/// No report is older than this.
constexpr duration report_age = std::chrono::milliseconds(600);
/// A load that a report does not show for so long has been lost, as when the
/// order came late and was refused.
constexpr duration load_given_up = std::chrono::seconds(5);

} // namespace

bool slot_tracker::report_due(instant now) const {
    if (now < report_after_) {
        return false;
    }
    if (!known_ || must_report_ || busy_ || model_loading_) {
        return true;
    }
    return false;
}

void slot_tracker::require_report() noexcept {
    must_report_ = true;
    report_after_ = {};
}

void slot_tracker::on_report_failed(instant now) {
    report_after_ = now + report_retry;
}

void slot_tracker::take_resident(adapter_ref const& each, instant now) {
    auto const [place, fresh] = slots_.try_emplace(each.id);
    slot& of = place->second;
    if (fresh) {
        of.since = now;
        of.last_used = now;
        of.shown_from = sequence_;
        // Whoever uses it repeats so before this has passed.
        of.busy_until = now + limits_.use_timeout;
        set_ready(each.id, of, each.version, now);
        return;
    }
    if (of.state == slot_state::resident && of.version == 0) {
        // It was ordered without a version, which the report names.
        of.version = each.version;
        changes_.push_back({each, true});
        return;
    }
    bool const has_come =
        of.state == slot_state::loading && each.version >= of.version;
    if (has_come || of.state == slot_state::resident) {
        if (has_come || of.version != each.version) {
            set_ready(each.id, of, each.version, now);
        }
    }
}

void slot_tracker::begin_anew() {
    for (auto& [id, of] : slots_) {
        if (of.state == slot_state::resident) {
            changes_.push_back({{id, of.version}, false});
        }
        end_load(of);
    }
    slots_.clear();
    recent_.clear();
    unanswered_.reset();
    times_unanswered_ = 0;
    model_loading_ = false;
    known_ = false;
}

void slot_tracker::apply_report(replica_report const& report, instant now) {
    report_after_ = now + report_pause;
    if (born_ && report.started_at && report.started_at != born_) {
        begin_anew();
    }
    born_ = report.started_at ? report.started_at : born_;
    if (known_ && report.sequence < sequence_ &&
        now < last_counted_ + report_age) {
        // Older than the newest accepted order: it can't show its effect.
        return;
    }
    sequence_ = report.sequence;
    known_ = true;
    must_report_ = false;
    unanswered_.reset();
    busy_ = report.busy;
    models_ = report.models;
    model_loading_ = model_loading_ && models_.empty() &&
                     now < model_ordered_ + load_given_up;
    for (adapter_ref const& each : report.pending) {
        auto const [place, fresh] = slots_.try_emplace(each.id);
        if (fresh) {
            place->second.version = each.version;
            place->second.state = slot_state::loading;
            place->second.since = now;
            place->second.last_used = now;
            place->second.check_at = now;
            place->second.shown_from = sequence_;
        }
    }
    for (adapter_ref const& each : report.adapters) {
        take_resident(each, now);
    }
    drop_not_shown(report, now);
}

void slot_tracker::drop_not_shown(replica_report const& report, instant now) {
    auto const shown = [&](adapter_id const& id) {
        auto const same = [&](adapter_ref const& each) {
            return each.id == id;
        };
        return std::ranges::any_of(report.adapters, same) ||
               std::ranges::any_of(report.pending, same);
    };
    for (auto each = slots_.begin(); each != slots_.end();) {
        slot& of = each->second;
        bool const too_young = of.state == slot_state::loading &&
                               now < of.since + limiter_->first_check_delay();
        if (report.sequence < of.shown_from || shown(each->first) ||
            too_young) {
            ++each;
            continue;
        }
        if (of.state != slot_state::dropping) {
            changes_.push_back({{each->first, of.version}, false});
        }
        end_load(of);
        each = slots_.erase(each);
    }
}

} // namespace camphorpoint
