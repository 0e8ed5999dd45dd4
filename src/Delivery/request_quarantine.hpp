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

/// What a node knows of one content, to be told and to be kept.
struct quarantine_update {
    request_fingerprint fingerprint{};
    /// Counts the changes: odd while the content is not run, even once it is
    /// run again. Of two words the higher one holds.
    std::uint32_t revision = 0;
    /// How long it holds from now.
    duration remaining{0};

    /// @returns true while the content is not to be run
    bool quarantined() const noexcept { return revision % 2 == 1; }
};

/// Contents that end the replicas which run them (a query of death). Guards
/// against replicas that end one after the other: the request is tried
/// elsewhere, its caller sends it again under a new id to any node, and each
/// time all others' runs at that replica break off too. It holds because ends
/// are counted by content, each replica once, and a content under which three
/// have ended is run nowhere.
///
/// Runs of others break off with it and are counted likewise. They differ in
/// that they end well elsewhere: that clears them.
class request_quarantine {
public:
    /// A replica ended, or broke its answer off, while it ran the content.
    /// @param replica its short name, another one for each start
    /// @returns the word to tell when the content is not run from now on
    std::optional<quarantine_update> record_crash(
        request_fingerprint fingerprint, std::uint64_t replica, instant now);
    /// A run of the content ended well.
    /// @returns the word to tell when the content is run again by this
    std::optional<quarantine_update>
    record_success(request_fingerprint fingerprint);
    /// Takes another node's word, or one that was kept.
    /// @returns true when it is news
    bool apply(quarantine_update const& update, instant now);

    /// @returns true when a replica has ended while it ran the content, which
    ///          has not ended well since
    bool suspected(request_fingerprint fingerprint) const {
        return evidence_.contains(fingerprint);
    }
    /// @returns for how long the content is not run, nothing when it may run
    std::optional<duration>
    quarantined_for(request_fingerprint fingerprint, instant now) const;
    /// @returns some of the words, by turns, so that whoever has missed one
    ///          hears it again
    std::vector<quarantine_update>
    next_batch(std::size_t max_count, instant now);
    /// @returns all words
    std::vector<quarantine_update> all_updates(instant now) const;
    /// @returns contents that are not run
    std::size_t quarantined_count(instant now) const;
    /// Drops what has lasted long enough.
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
