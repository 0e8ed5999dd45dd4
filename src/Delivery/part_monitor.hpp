#pragma once

#include "Core/time.hpp"
#include "Delivery/crash_baseline.hpp"
#include "Delivery/part_outputs.hpp"
#include "Delivery/part_suspects.hpp"
#include "Delivery/request_fingerprint.hpp"
#include "Delivery/request_quarantine.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace camphorpoint {

/// Finds the prompt parts that crash replicas and quarantines them: the
/// decisions of one node, which reports the crashes and the output of its own
/// attempts, and counts the crashes of some parts for all nodes.
class part_monitor {
public:
    /// @param quarantine the quarantined fingerprints of this node; must
    ///                   outlive this
    explicit part_monitor(request_quarantine& quarantine)
        : quarantine_(&quarantine) {}

    /// Records that a replica crashed during an attempt of this node before it
    /// had written any part of the answer.
    /// @param parts the shared parts of the request's prompt
    /// @returns the crashes to report to the nodes that count them. A crash of
    ///          one replica is reported once for each part.
    std::vector<part_crash> on_crash(
        std::vector<request_fingerprint> const& parts,
        request_fingerprint request, std::uint64_t replica,
        instant attempt_began, instant now);
    /// Records the first output of an attempt of this node.
    /// @returns the parts of which the counting nodes must be told, because
    ///          this node has reported a crash under them
    std::vector<request_fingerprint>
    on_output(std::vector<request_fingerprint> const& parts, instant now);
    /// Counts a crash for all nodes.
    /// @returns the question that all other nodes must be asked now, if any
    std::optional<part_inquiry> count(part_crash const& crash, instant now);
    /// @returns the parts of an inquiry on which this node has seen output
    std::vector<request_fingerprint>
    answer(part_inquiry const& inquiry, instant now) const;
    /// Records that a node has seen output on a part.
    void on_reported_output(request_fingerprint part, instant now) {
        suspects_.record_output(part, now);
    }
    /// Admits one request with a quarantined part as a trial, whose output
    /// lifts the quarantine. Guards against the refusal of a sound part for an
    /// hour, because no replica ran long enough to show that it is sound.
    /// @param part only one node may call this for it
    /// @returns false when there is no trial now
    bool try_quarantined(request_fingerprint part, instant now);
    /// Quarantines the parts of which no output was reported after the inquiry.
    /// @returns the updates to send to all nodes
    std::vector<quarantine_update> quarantine_confirmed(instant now);
    /// Removes expired evidence.
    void remove_expired(instant now);

private:
    /// The latest crash under a part that this node has reported.
    struct report {
        std::uint64_t replica = 0;
        instant at;
    };

    bool already_reported(
        request_fingerprint part, std::uint64_t replica, instant now);

    request_quarantine* quarantine_;
    part_suspects suspects_;
    /// Output that this node has seen itself.
    part_outputs outputs_;
    crash_baseline baseline_;
    std::unordered_map<request_fingerprint, report> reports_;
    /// The quarantined parts that were tried.
    std::unordered_set<request_fingerprint> tried_;
};

/// @param parts the shared parts of a request's prompt
/// @returns the fingerprints by which its prompt may be quarantined: the parts
///          and the combinations of two of them
std::vector<request_fingerprint>
quarantine_keys(std::vector<request_fingerprint> const& parts);

} // namespace camphorpoint
