#pragma once

#include <cstdint>
#include <vector>

namespace camphorpoint {

/// To the nodes that count a content: an endpoint ended while it ran it.
struct replica_crash_message {
    std::uint64_t fingerprint = 0;
    /// Hash of the endpoint's name.
    std::uint64_t endpoint = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint, endpoint);
    }
};

/// To the nodes that count a content: a run of it ended well.
struct request_success_message {
    std::uint64_t fingerprint = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint);
    }
};

/// A quarantine_update as nodes tell it.
struct quarantine_entry {
    std::uint64_t fingerprint = 0;
    std::uint32_t revision = 0;
    std::uint64_t remaining_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint, revision, remaining_ms);
    }
};

/// Contents that are not run, or are run again.
struct quarantine_message {
    std::vector<quarantine_entry> entries;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(entries);
    }
};

/// A node that has begun asks for all that another one knows.
struct quarantine_sync_request {
    template <class Archive>
    void serialize(Archive& /*archive*/) {}
};

} // namespace camphorpoint
