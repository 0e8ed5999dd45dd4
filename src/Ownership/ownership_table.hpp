#pragma once

#include "Core/ids.hpp"
#include "Ownership/control_record.hpp"
#include "Ownership/resource_id.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphorpoint {

/// What the log says of one resource.
struct ownership_entry {
    /// The last claimer; an empty node after a release without a successor.
    node_run owner;
    /// The offset of its claim: the fencing number.
    log_offset fencing;
    /// The claim before; absent when the log no longer tells.
    std::optional<log_offset> previous;
    /// True when whoever held before had stopped before this record.
    bool predecessor_stopped = false;
    /// True when a release named this owner, instead of its own claim.
    bool transferred = false;
    /// The newest record that names the resource.
    log_offset last_named_at;

    /// @returns true when somebody owns the resource
    bool owned() const noexcept { return !owner.node.empty(); }
};

/// The replay of the control stream: the last claim wins. It may begin at any
/// offset, since a claim needs nothing before it to be valid; what would need
/// it (a release that spares the wait) counts only when its claim is known.
class ownership_table {
public:
    /// Forgets everything, as at a start or when records expired unread.
    /// @param complete true when reading begins with the log's first record
    void restart(bool complete);
    /// Applies one record.
    /// @param offset where the record stands
    /// @param record what it says
    /// @returns the resources whose entry changed its owner or fencing number
    std::vector<resource_id>
    apply(log_offset offset, control_record const& record);
    /// Drops entries whose last record has expired, but for one node's own.
    /// @param first the oldest offset that the log keeps
    /// @param keep  the node whose entries stay
    /// @returns the resources dropped
    std::vector<resource_id> prune(log_offset first, node_id const& keep);

    /// @returns the resource's entry, or null when the log does not name it
    ownership_entry const* find(resource_id const& resource) const;
    /// @returns what the node owns, over all its runs
    std::set<resource_id> const& owned_by(node_id const& node) const;
    /// @returns true when a resource without an entry never had an owner
    bool complete() const noexcept { return complete_; }
    /// @returns how many resources the table names
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
