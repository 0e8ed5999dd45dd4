#include "Membership/endpoint_table.hpp"

namespace camphorpoint {

std::vector<endpoint_id> endpoint_table::on_list(
    std::vector<endpoint_instance> const& list, instant now) {
    std::vector<endpoint_id> news;
    for (auto& [id, each] : entries_) {
        each.seen = false;
    }
    for (endpoint_instance const& each : list) {
        entry& place = entries_[each.id];
        place.seen = true;
        if (!place.listed || place.instance != each) {
            ++change_count_;
        }
        place.listed = true;
        place.instance = each;
        if (each.state == instance_state::leaving && leaving(each.id, now)) {
            news.push_back(each.id);
        }
    }
    unlist();
    return news;
}

// An endpoint that was gone from the list and comes back is a new start of it;
// only a list that named it all along can be late.
void endpoint_table::unlist() {
    for (auto entry_at = entries_.begin(); entry_at != entries_.end();) {
        entry& each = entry_at->second;
        bool const was_listed = each.listed;
        if (!each.seen && was_listed) {
            entry_at = entries_.erase(entry_at);
            ++change_count_;
        } else {
            ++entry_at;
        }
    }
}

bool endpoint_table::leaving(endpoint_id const& endpoint, instant now) {
    entry& place = entries_[endpoint];
    bool const news = !place.leaving_until;
    if (news) {
        place.leaving_until = now + settings_.leaving_report_lifetime;
        ++change_count_;
    }
    return news;
}

void endpoint_table::called(
    endpoint_id const& endpoint, bool succeeded, instant now) {
    auto const found = entries_.find(endpoint);
    if (found == entries_.end()) {
        return;
    }
    entry& place = found->second;
    if (succeeded) {
        change_count_ += place.avoid_until ? 1 : 0;
        place.failures = 0;
        place.avoid_until.reset();
        return;
    }
    ++place.failures;
    if (place.failures >= settings_.endpoint_failure_threshold) {
        change_count_ += place.avoid_until ? 0 : 1;
        place.avoid_until = now + settings_.endpoint_retry_delay;
        note_end(*place.avoid_until);
    }
}

void endpoint_table::on_tick(instant now) {
    if (!next_end_ || now < *next_end_) {
        return;
    }
    next_end_.reset();
    for (auto& [id, each] : entries_) {
        if (!each.avoid_until) {
            continue;
        }
        if (now >= *each.avoid_until) {
            // One more failure makes it suspect again at once.
            each.avoid_until.reset();
            ++change_count_;
        } else {
            note_end(*each.avoid_until);
        }
    }
}

void endpoint_table::end_holds(instant now) {
    for (auto entry_at = entries_.begin(); entry_at != entries_.end();) {
        entry& each = entry_at->second;
        bool const over = each.leaving_until && now >= *each.leaving_until;
        bool const says_live =
            each.listed && each.instance.state == instance_state::live;
        if (over && says_live) {
            each.leaving_until.reset();
            ++change_count_;
        }
        entry_at = over && !each.listed ? entries_.erase(entry_at)
                                        : std::next(entry_at);
    }
}

void endpoint_table::note_end(instant end) {
    if (!next_end_ || end < *next_end_) {
        next_end_ = end;
    }
}

std::vector<endpoint_instance> endpoint_table::live() const {
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

endpoint_state endpoint_table::state_of(entry const& which) {
    bool const says_leaving =
        which.listed && which.instance.state == instance_state::leaving;
    if (which.leaving_until || says_leaving) {
        return endpoint_state::leaving;
    }
    if (!which.listed) {
        return endpoint_state::gone;
    }
    return which.avoid_until ? endpoint_state::suspect : endpoint_state::live;
}

endpoint_instance const*
endpoint_table::find(endpoint_id const& endpoint) const {
    auto const found = entries_.find(endpoint);
    bool const named = found != entries_.end() && found->second.listed;
    return named ? &found->second.instance : nullptr;
}

} // namespace camphorpoint
