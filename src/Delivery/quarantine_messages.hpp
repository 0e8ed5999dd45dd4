#pragma once

#include <cstdint>
#include <vector>

namespace camphorpoint {

/// Sent to the nodes that count crashes for a request fingerprint: an endpoint
/// crashed while it ran the request.
struct replica_crash_message {
    std::uint64_t fingerprint = 0;
    /// Hash of the endpoint's name.
    std::uint64_t endpoint = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint, endpoint);
    }
};

/// Sent to the nodes that count crashes for a request fingerprint: an attempt
/// of the request completed.
struct request_success_message {
    std::uint64_t fingerprint = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint);
    }
};

/// Sent to the nodes that count crashes for a prompt part: an endpoint crashed
/// before it had written any part of the answer.
struct part_crash_message {
    std::uint64_t part = 0;
    /// Fingerprint of the whole request.
    std::uint64_t request = 0;
    std::vector<std::uint64_t> companions;
    /// Hash of the endpoint's name.
    std::uint64_t endpoint = 0;
    /// Time since the attempt began, and since it was broken off.
    std::uint64_t attempt_age_ms = 0;
    std::uint64_t crash_age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            part, request, companions, endpoint, attempt_age_ms, crash_age_ms);
    }
};

/// Asks on which prompt parts the receiver has seen output.
struct part_inquiry_message {
    std::vector<std::uint64_t> parts;
    /// Output counts when it is at most this old.
    std::uint64_t since_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(parts, since_ms);
    }
};

/// The sender has seen output on these prompt parts.
struct part_output_message {
    std::vector<std::uint64_t> parts;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(parts);
    }
};

/// A quarantine_update in its message format.
struct quarantine_entry {
    std::uint64_t fingerprint = 0;
    std::uint32_t revision = 0;
    std::uint64_t remaining_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint, revision, remaining_ms);
    }
};

/// Requests that were quarantined or released from quarantine.
struct quarantine_message {
    std::vector<quarantine_entry> entries;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(entries);
    }
};

/// Sent by a node that has started, to request all quarantine entries of
/// another node.
struct quarantine_sync_request {
    template <class Archive>
    void serialize(Archive& /*archive*/) {}
};

} // namespace camphorpoint
