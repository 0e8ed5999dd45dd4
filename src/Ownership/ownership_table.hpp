#pragma once

#include "Core/ids.hpp"
#include "Ownership/control_record.hpp"
#include "Ownership/resource_id.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphorpoint {

/// State of one resource as replayed from the log.
struct ownership_entry {
    /// The run of the node that claimed last or was named as successor; the
    /// node id is empty after a release without a successor.
    node_run owner;
    /// Fencing number: the offset of the record that made the node the owner.
    log_offset fencing;
    /// Fencing number of the previous claim; absent when the log no longer
    /// contains it.
    std::optional<log_offset> previous;
    /// True when the previous holder had stopped before this record.
    bool predecessor_stopped = false;
    /// True when the owner was named by a release of its predecessor, false
    /// when it claimed the resource itself.
    bool transferred = false;
    /// Offset of the newest record that names the resource.
    log_offset last_named_at;

    /// @returns true when the resource has an owner
    bool owned() const noexcept { return !owner.node.empty(); }
};

/// Replays the control stream; the latest claim of a resource wins. The replay
/// may begin at any offset, because a claim is valid without the records before
/// it. A release that spares the next owner its wait does depend on an earlier
/// record, and counts only if the claim that it ends is known.
class ownership_table {
public:
    /// Discards all entries, as at startup or when records expired unread.
    /// @param complete true when reading begins with the first record that was
    ///        ever appended
    void restart(bool complete);
    /// Applies one record.
    /// @param offset offset of the record in the log
    /// @param record the decoded record
    /// @returns the resources whose owner or fencing number changed
    std::vector<resource_id>
    apply(log_offset offset, control_record const& record);
    /// Drops the entries whose newest record has expired, except those of one
    /// node.
    /// @param first the oldest offset that the log retains
    /// @param keep the node whose entries are kept
    /// @returns the resources whose entries were dropped
    std::vector<resource_id> prune(log_offset first, node_id const& keep);

    /// @returns the entry of the resource, or null when the replayed records do
    /// not name it
    ownership_entry const* find(resource_id const& resource) const;
    /// @returns the resources that the node owns, over all its runs
    std::set<resource_id> const& owned_by(node_id const& node) const;
    /// @returns true when a resource without an entry has never had an owner
    bool complete() const noexcept { return complete_; }
    /// @returns the number of entries
    std::size_t size() const noexcept { return entries_.size(); }

private:
    void set(resource_id const& resource, ownership_entry entry);
    void
    apply_claim(log_offset offset, node_run const& writer, claim const& update);
    bool apply_renewal(
        log_offset offset, node_run const& writer, renewal const& update);
    bool apply_release(
        log_offset offset, node_run const& writer, release const& update);

    std::map<resource_id, ownership_entry> entries_;
    std::map<node_id, std::set<resource_id>> by_owner_;
    bool complete_ = false;
};

} // namespace camphorpoint
