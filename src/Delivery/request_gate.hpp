#pragma once

#include "Core/time.hpp"
#include "Delivery/request_fingerprint.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace camphorpoint {

/// Lets one run of a content at a time begin, until one has shown that it does
/// not end its replica. Guards against a content that nobody remembers, since
/// all nodes have begun anew: its requests wait together for their adapter and
/// would all go out side by side, before the first end of a replica is told.
/// Contents that differ do not wait for one another.
class request_gate {
public:
    /// A run asks to begin.
    /// @param run number of the run, unique over all nodes
    /// @returns false while another run of the content is under way
    bool try_admit(
        request_fingerprint fingerprint, std::uint64_t attempt, instant now);
    /// A run has ended or does not begin, and has shown nothing.
    void release(request_fingerprint fingerprint, std::uint64_t attempt);
    /// A run has brought a part of its answer: others need not wait.
    void mark_safe(request_fingerprint fingerprint, instant now);
    /// A replica has ended under it: what was shown before no longer counts.
    void revoke(request_fingerprint fingerprint) {
        admissions_.erase(fingerprint);
    }

private:
    struct admission {
        std::uint64_t attempt = 0;
        instant expires_at;
        bool safe = false;
    };
    void remove_expired(instant now);

    std::unordered_map<request_fingerprint, admission> admissions_;
};

} // namespace camphorpoint
