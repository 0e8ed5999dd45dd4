#include "Ownership/ownership_table.hpp"

#include <utility>

namespace camphorpoint {

void ownership_table::restart(bool complete) {
    entries_.clear();
    by_owner_.clear();
    complete_ = complete;
}

std::vector<resource_id>
ownership_table::apply(log_offset offset, control_record const& record) {
    std::vector<resource_id> changed;
    for (claim const& each : record.claims) {
        apply_claim(offset, record.writer, each);
        changed.push_back(each.resource);
    }
    for (renewal const& each : record.renewals) {
        if (apply_renewal(offset, record.writer, each)) {
            changed.push_back(each.resource);
        }
    }
    for (release const& each : record.releases) {
        if (apply_release(offset, record.writer, each)) {
            changed.push_back(each.resource);
        }
    }
    return changed;
}

void ownership_table::apply_claim(
    log_offset offset, node_run const& writer, claim const& update) {
    ownership_entry entry;
    entry.owner = writer;
    entry.fencing = offset;
    entry.last_named_at = offset;
    if (ownership_entry const* before = find(update.resource)) {
        entry.previous = before->fencing;
        entry.predecessor_stopped =
            !before->owned() && before->predecessor_stopped;
    } else {
        entry.predecessor_stopped = complete_;
    }
    set(update.resource, std::move(entry));
}

// A renewal only proves that its writer held this claim when it wrote. It never
// takes a resource from a later claim, so a renewal appended by a paused holder
// after its resource was claimed by another node has no effect.
bool ownership_table::apply_renewal(
    log_offset offset, node_run const& writer, renewal const& update) {
    if (update.fencing >= offset) {
        return false;
    }
    ownership_entry const* before = find(update.resource);
    if (before != nullptr && before->fencing > update.fencing) {
        return false;
    }
    if (before != nullptr && before->fencing == update.fencing) {
        if (before->owner == writer) {
            entries_[update.resource].last_named_at = offset;
        }
        return false;
    }
    ownership_entry entry;
    entry.owner = writer;
    entry.fencing = update.fencing;
    entry.last_named_at = offset;
    set(update.resource, std::move(entry));
    return true;
}

// A release that does not end the latest claim is void. Otherwise a late
// release of a paused holder would let a third node skip the wait for the
// second node's lease.
bool ownership_table::apply_release(
    log_offset offset, node_run const& writer, release const& update) {
    ownership_entry const* before = find(update.resource);
    bool const known = before != nullptr;
    if (known &&
        (before->owner != writer || before->fencing != update.fencing)) {
        return false;
    }
    ownership_entry entry;
    entry.owner = update.successor.value_or(node_run{});
    entry.fencing = offset;
    entry.last_named_at = offset;
    entry.previous = update.fencing;
    entry.predecessor_stopped = known && update.stopped;
    entry.transferred = update.successor.has_value();
    set(update.resource, std::move(entry));
    return true;
}

std::vector<resource_id>
ownership_table::prune(log_offset first, node_id const& keep) {
    std::vector<resource_id> expired;
    for (auto const& [resource, entry] : entries_) {
        if (entry.last_named_at < first && entry.owner.node != keep) {
            expired.push_back(resource);
        }
    }
    for (resource_id const& each : expired) {
        by_owner_[entries_[each].owner.node].erase(each);
        entries_.erase(each);
        complete_ = false;
    }
    return expired;
}

ownership_entry const*
ownership_table::find(resource_id const& resource) const {
    auto const found = entries_.find(resource);
    return found == entries_.end() ? nullptr : &found->second;
}

std::set<resource_id> const&
ownership_table::owned_by(node_id const& node) const {
    static std::set<resource_id> const none;
    auto const found = by_owner_.find(node);
    return found == by_owner_.end() ? none : found->second;
}

void ownership_table::set(resource_id const& resource, ownership_entry entry) {
    ownership_entry& stored = entries_[resource];
    if (stored.owned()) {
        by_owner_[stored.owner.node].erase(resource);
    }
    stored = std::move(entry);
    if (stored.owned()) {
        by_owner_[stored.owner.node].insert(resource);
    }
}

} // namespace camphorpoint
