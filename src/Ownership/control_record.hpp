#pragma once

#include "Core/ids.hpp"
#include "Ownership/resource_id.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint {

/// One run of a node: a restarted node is not its former self.
struct node_run {
    node_id node;
    /// When the process started, in milliseconds of the calendar clock.
    std::uint64_t run = 0;

    friend auto operator<=>(node_run const&, node_run const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, run);
    }
};

/// The writer takes the resource. The record's offset is the fencing number.
struct claim {
    resource_id resource;
    friend bool operator==(claim const&, claim const&) = default;
};

/// The writer says again that it holds the resource, before the log drops the
/// claim. The fencing number stays that of the claim.
struct renewal {
    resource_id resource;
    log_offset fencing;
    friend bool operator==(renewal const&, renewal const&) = default;
};

/// The writer gives the resource up.
struct release {
    resource_id resource;
    /// The claim that ends; the release is void when it is not the last one.
    log_offset fencing;
    /// True when the writer had full authority, stopped, and saw its last
    /// order end before it appended: the next owner need not wait.
    bool stopped = false;
    /// Owns the resource from this record on; its fencing number is the
    /// record's offset.
    std::optional<node_run> successor;
    friend bool operator==(release const&, release const&) = default;
};

/// One record of the control stream. It names many resources, since a node's
/// death moves all of that node's resources at once.
struct control_record {
    node_run writer;
    /// The writer's own number for the append, by which it finds the record
    /// when the append's answer was lost.
    std::uint64_t append = 0;
    std::vector<claim> claims;
    std::vector<renewal> renewals;
    std::vector<release> releases;
    friend bool
    operator==(control_record const&, control_record const&) = default;
};

/// @returns the record as one line of JSON text
std::string encode_control_record(control_record const& record);
/// Reads a record strictly: what would not be written back as the same text is
/// refused.
/// @param text the log record's data
/// @returns the record, or nothing when the text is not exactly one
std::optional<control_record> decode_control_record(std::string const& text);

} // namespace camphorpoint
