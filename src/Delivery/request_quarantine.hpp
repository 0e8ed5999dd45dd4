#pragma once

#include "Core/time.hpp"
#include "Delivery/request_fingerprint.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorpoint {

/// Quarantine state of one fingerprint, as sent to other nodes and as
/// stored.
struct quarantine_update {
    request_fingerprint fingerprint{};
    /// Counts the changes of the state: odd while the request is quarantined,
    /// even after its release. Of two updates the one with the higher revision
    /// is valid.
    std::uint32_t revision = 0;
    /// Remaining validity of the update.
    duration remaining{0};

    /// @returns true when the update quarantines the request
    bool quarantined() const noexcept { return revision % 2 == 1; }
};

/// Requests that crash the replicas which run them (poison requests, queries of
/// death).
/// Guards against a request that crashes one replica after the other: it is
/// retried elsewhere, its caller sends it again with a new id to any node, and
/// each crash also cuts off all other attempts at that replica. Crashes are
/// counted by request fingerprint, each replica once, and a request during
/// which three replicas have crashed is run nowhere.
///
/// The other attempts that are cut off by the crash are counted in the same
/// way. They differ in that they complete at another replica, which clears
/// their count.
class request_quarantine {
public:
    /// Records that a replica crashed, or cut its answer off, while it ran the
    /// request.
    /// @param fingerprint fingerprint of the request
    /// @param replica     short name of the replica, different for each of its
    ///                    starts
    /// @param now         the current time
    /// @returns the update to send when the request is quarantined by this
    std::optional<quarantine_update> record_crash(
        request_fingerprint fingerprint, std::uint64_t replica, instant now);
    /// Quarantines a request, or all requests with a prompt part.
    /// @returns the update to send; nothing when it was quarantined before, or
    ///          too many are
    std::optional<quarantine_update>
    quarantine(request_fingerprint fingerprint, instant now);
    /// Records that an attempt of the request completed.
    /// @returns the update to send when this releases the request from
    ///          quarantine
    std::optional<quarantine_update>
    record_success(request_fingerprint fingerprint);
    /// Applies an update from another node or from the store.
    /// @returns true when the update changed the state
    bool apply(quarantine_update const& update, instant now);

    /// @returns true when a replica has crashed while it ran the request and no
    ///          attempt of it has completed since
    bool suspected(request_fingerprint fingerprint) const {
        return evidence_.contains(fingerprint);
    }
    /// @returns the remaining time of the quarantine; nothing when the request
    ///          may run
    std::optional<duration>
    quarantined_for(request_fingerprint fingerprint, instant now) const;
    /// @returns for how long it has been quarantined; nothing when it may run
    std::optional<duration>
    quarantined_since(request_fingerprint fingerprint, instant now) const;
    /// @returns the next updates to send again, at most max_count. Successive
    ///          calls cycle through all updates, so that a node which missed
    ///          one receives it again.
    std::vector<quarantine_update>
    next_batch(std::size_t max_count, instant now);
    /// @returns all updates
    std::vector<quarantine_update> all_updates(instant now) const;
    /// @returns number of quarantined requests
    std::size_t quarantined_count(instant now) const;
    /// Removes expired evidence and expired states.
    void remove_expired(instant now);

private:
    struct evidence {
        std::vector<std::uint64_t> replicas;
        instant last_crash_at;
    };
    struct quarantine_state {
        std::uint32_t revision = 0;
        instant expires_at;
    };
    static quarantine_update update_of(
        request_fingerprint fingerprint, quarantine_state const& state,
        instant now);
    void evict_oldest_evidence();

    std::unordered_map<request_fingerprint, evidence> evidence_;
    std::map<request_fingerprint, quarantine_state> states_;
    request_fingerprint last_sent_{};
};

} // namespace camphorpoint
