#include "Membership/endpoint_table.hpp"

#include <utility>

namespace camphorpoint {

std::vector<endpoint_id> endpoint_table::apply_list(
    std::vector<endpoint_instance> const& list, instant now) {
    std::vector<endpoint_id> newly_leaving;
    for (auto& [id, each] : entries_) {
        each.in_new_list = false;
    }
    for (endpoint_instance const& each : list) {
        entry& item = entries_[each.id];
        item.in_new_list = true;
        if (!item.listed || item.instance != each) {
            ++change_count_;
        }
        item.listed = true;
        item.instance = each;
        if (each.state == instance_state::leaving &&
            report_leaving(each.id, now)) {
            newly_leaving.push_back(each.id);
        }
    }
    remove_unlisted();
    return newly_leaving;
}

// An endpoint that was absent from the list and appears again has been
// restarted, so an earlier report that it is leaving must not apply to it. A
// report only overrides a list that has contained the endpoint without a gap,
// since only such a list can be out of date.
void endpoint_table::remove_unlisted() {
    for (auto position = entries_.begin(); position != entries_.end();) {
        entry& each = position->second;
        bool const was_listed = each.listed;
        if (!each.in_new_list && was_listed) {
            position = entries_.erase(position);
            ++change_count_;
        } else {
            ++position;
        }
    }
}

bool endpoint_table::report_leaving(endpoint_id const& endpoint, instant now) {
    entry& item = entries_[endpoint];
    bool const is_new = !item.leaving_until;
    if (is_new) {
        item.leaving_until = now + settings_.leaving_report_lifetime;
        ++change_count_;
    }
    return is_new;
}

void endpoint_table::record_call(
    endpoint_id const& endpoint, bool succeeded, instant now) {
    auto const found = entries_.find(endpoint);
    if (found == entries_.end()) {
        return;
    }
    entry& item = found->second;
    if (succeeded) {
        change_count_ += item.avoid_until ? 1 : 0;
        item.failures = 0;
        item.silent_since.reset();
        item.unanswered = 0;
        item.avoid_until.reset();
        return;
    }
    add_failures(item, 1, now);
}

void endpoint_table::add_failures(entry& item, std::size_t count, instant now) {
    item.failures += count;
    if (item.failures >= settings_.endpoint_failure_threshold) {
        change_count_ += item.avoid_until ? 0 : 1;
        item.avoid_until = now + settings_.endpoint_retry_delay;
        schedule_retry_check(*item.avoid_until);
    }
}

// Guards against an endpoint that is avoided for seconds after a short silence
// in which calls reached their deadlines. That a call was not completed in time
// says nothing by itself: its deadline may have been too short.
void endpoint_table::record_timeout(
    endpoint_id const& endpoint, answer_trace const& trace, instant now) {
    auto const found = entries_.find(endpoint);
    if (found == entries_.end()) {
        return;
    }
    entry& item = found->second;
    instant const heard = now - trace.silence;
    bool const later = trace.answered && item.silent_since < heard;
    if (!item.silent_since || later) {
        item.silent_since = heard;
        item.unanswered = 0;
    }
    ++item.unanswered;
    if (now - *item.silent_since >= settings_.endpoint_silence_limit) {
        add_failures(item, std::exchange(item.unanswered, 0), now);
    }
}

void endpoint_table::on_tick(instant now) {
    if (!next_retry_check_ || now < *next_retry_check_) {
        return;
    }
    next_retry_check_.reset();
    for (auto& [id, each] : entries_) {
        if (!each.avoid_until) {
            continue;
        }
        if (now >= *each.avoid_until) {
            // The failure count stays, so a single further failure makes the
            // endpoint suspect again.
            each.avoid_until.reset();
            ++change_count_;
        } else {
            schedule_retry_check(*each.avoid_until);
        }
    }
}

void endpoint_table::expire_leaving_reports(instant now) {
    for (auto position = entries_.begin(); position != entries_.end();) {
        entry& each = position->second;
        bool const expired = each.leaving_until && now >= *each.leaving_until;
        bool const listed_as_live =
            each.listed && each.instance.state == instance_state::live;
        if (expired && listed_as_live) {
            each.leaving_until.reset();
            ++change_count_;
        }
        position = expired && !each.listed ? entries_.erase(position)
                                           : std::next(position);
    }
}

void endpoint_table::schedule_retry_check(instant retry_at) {
    if (!next_retry_check_ || retry_at < *next_retry_check_) {
        next_retry_check_ = retry_at;
    }
}

std::vector<endpoint_instance> endpoint_table::live_endpoints() const {
    std::vector<endpoint_instance> result;
    for (auto const& [id, each] : entries_) {
        if (state_of(each) == endpoint_state::live) {
            result.push_back(each.instance);
        }
    }
    return result;
}

endpoint_state endpoint_table::state_of(endpoint_id const& endpoint) const {
    auto const found = entries_.find(endpoint);
    return found == entries_.end() ? endpoint_state::gone
                                   : state_of(found->second);
}

endpoint_state endpoint_table::state_of(entry const& item) {
    bool const listed_as_leaving =
        item.listed && item.instance.state == instance_state::leaving;
    if (item.leaving_until || listed_as_leaving) {
        return endpoint_state::leaving;
    }
    if (!item.listed) {
        return endpoint_state::gone;
    }
    return item.avoid_until ? endpoint_state::suspect : endpoint_state::live;
}

endpoint_instance const*
endpoint_table::find(endpoint_id const& endpoint) const {
    auto const found = entries_.find(endpoint);
    bool const named = found != entries_.end() && found->second.listed;
    return named ? &found->second.instance : nullptr;
}

} // namespace camphorpoint
