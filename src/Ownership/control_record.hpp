#pragma once

#include "Core/ids.hpp"
#include "Ownership/resource_id.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint {

/// Identifies one run of a node's process. After a restart a node has another
/// run number and does not inherit what its former run owned.
struct node_run {
    node_id node;
    /// Start time of the process, in milliseconds of the calendar clock.
    std::uint64_t run = 0;

    friend auto operator<=>(node_run const&, node_run const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, run);
    }
};

/// The writer claims the resource. The log offset of the record is the fencing
/// number of the claim.
struct claim {
    resource_id resource;
    friend bool operator==(claim const&, claim const&) = default;
};

/// The writer confirms that it still holds the resource, before the log's
/// retention drops the record of the claim. The fencing number stays that of
/// the claim.
struct renewal {
    resource_id resource;
    log_offset fencing;
    friend bool operator==(renewal const&, renewal const&) = default;
};

/// The writer releases the resource.
struct release {
    resource_id resource;
    /// Fencing number of the claim that ends. The release is void when this is
    /// not the latest claim of the resource.
    log_offset fencing;
    /// True when the writer had full authority, stopped using it, and saw its
    /// last command complete before it appended the release. The next owner
    /// then need not wait for a lease to expire.
    bool stopped = false;
    /// If set, the node run that owns the resource from this record on; its
    /// fencing number is the offset of this record.
    std::optional<node_run> successor;
    friend bool operator==(release const&, release const&) = default;
};

/// One record of the control stream. A record can name many resources, because
/// the failure of one node moves all of its resources at once.
struct control_record {
    node_run writer;
    /// Number that the writer gave the append. The writer uses it to recognize
    /// its record when the answer to the append was lost.
    std::uint64_t append = 0;
    std::vector<claim> claims;
    std::vector<renewal> renewals;
    std::vector<release> releases;
    friend bool
    operator==(control_record const&, control_record const&) = default;
};

/// Encodes a record for the control stream.
/// @returns the record as one line of JSON text
std::string encode_control_record(control_record const& record);
/// Decodes a record strictly: text that would not be encoded to the same bytes
/// again is rejected.
/// @param text data of the log record
/// @returns the record, or nothing when the text is not exactly one valid
/// record
std::optional<control_record> decode_control_record(std::string const& text);

} // namespace camphorpoint
