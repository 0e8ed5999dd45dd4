#pragma once

#include "Core/time.hpp"
#include "Delivery/request_fingerprint.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace camphorpoint {

/// Admits one attempt of a request at a time, until an attempt has shown that
/// the request does not crash its replica.
/// Guards against a poison request that no node remembers because all nodes
/// have restarted: its copies would wait together for their adapter and then
/// all be sent at once, before the first crash is reported. Requests with
/// different fingerprints do not wait for each other.
class request_gate {
public:
    /// Requests admission of an attempt.
    /// @param fingerprint fingerprint of the request
    /// @param attempt     number of the attempt, unique over all nodes
    /// @param now         the current time
    /// @returns false while another attempt of the same request is in progress
    bool try_admit(
        request_fingerprint fingerprint, std::uint64_t attempt, instant now);
    /// Releases an admission: the attempt has ended or is not started, and has
    /// not shown whether the request is safe.
    void release(request_fingerprint fingerprint, std::uint64_t attempt);
    /// Records that an attempt has produced part of its answer, so that other
    /// attempts need not wait.
    void mark_safe(request_fingerprint fingerprint, instant now);
    /// Records that a replica has crashed during an attempt, which invalidates
    /// earlier evidence that the request is safe.
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
