#pragma once

#include "Core/store_position.hpp"
#include "Core/time.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// Somebody's requests wait for an adapter at a replica.
struct peer_load_request {
    std::uint64_t replica = 0;
    std::string adapter;
    std::uint32_t version = 0;
    /// For whom, as a number of `load_priority`.
    std::uint8_t priority = 0;
    /// It is the first that is said of a request to this replica: it can be
    /// turned away.
    bool first_request = false;
    /// The request may wait for so long.
    std::uint32_t wait_budget_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            replica, adapter, version, priority, first_request, wait_budget_ms);
    }
};

/// The sender's requests use an adapter at a replica.
struct peer_adapter_usage {
    std::uint64_t replica = 0;
    std::string adapter;
    std::uint32_t running = 0;
    /// Of prompts that it has sent there since its last word.
    std::uint32_t prompt_tokens = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, adapter, running, prompt_tokens);
    }
};

/// The sender orders for a replica, which now holds an adapter, or is about to
/// lose it.
struct peer_residency {
    std::uint64_t replica = 0;
    std::string adapter;
    std::uint32_t version = 0;
    bool resident = false;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, adapter, version, resident);
    }
};

/// The sender orders for a partition, by this fencing number.
struct peer_claim {
    std::uint32_t partition = 0;
    std::uint64_t token = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(partition, token);
    }
};

/// The sender has met silence at a replica.
struct peer_suspicion {
    std::uint64_t replica = 0;
    std::uint32_t milliseconds = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, milliseconds);
    }
};

/// The sender orders for a replica at which an adapter would be ready too late
/// for the request that wants it.
struct peer_load_rejection {
    std::uint64_t replica = 0;
    std::string adapter;
    /// How long it would take.
    std::uint32_t expected_wait_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, adapter, expected_wait_ms);
    }
};

/// The sender has a request for an adapter that a replica may run, and asks
/// whoever orders for it how full it is.
struct peer_replica_usage_query {
    std::uint64_t replica = 0;
    std::string adapter;
    /// Replicas that are asked for; one of them gets the request.
    std::uint8_t queried_replicas = 1;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, adapter, queried_replicas);
    }
};

/// All nodes' requests at a replica that the sender orders for.
struct peer_replica_usage {
    std::uint64_t replica = 0;
    std::uint16_t running = 0;
    std::uint16_t backlog_tokens = 0;
    /// Adapters that could be loaded there at once, less those that wait for
    /// it; negative when more wait.
    std::int16_t free_slots = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, running, backlog_tokens, free_slots);
    }
};

/// A replica's entry in the list, or its end. Adapters are left out: whoever
/// orders for the replica tells of them, and sooner.
struct peer_registry_entry {
    std::string id;
    /// Where the entry stands in the list's records.
    std::uint64_t position = 0;
    bool listed = false;
    /// Milliseconds since 1970; 0 when it does not say.
    std::int64_t started_at_ms = 0;
    std::uint64_t heartbeat = 0;
    std::string service;
    std::string host;
    std::uint16_t port = 0;
    std::string domain;
    std::uint32_t slots = 0;
    bool leaving = false;
    /// Milliseconds; 0 when it did not say.
    std::uint32_t remaining_ms = 0;
    std::vector<std::string> models;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            id, position, listed, started_at_ms, heartbeat, service, host, port,
            domain, slots, leaving, remaining_ms, models);
    }
};

/// The sender has read the list from one place to another of one era, and this
/// is what has changed in it.
struct peer_registry_update {
    store_position from;
    store_position to;
    std::vector<peer_registry_entry> changes;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(from, to, changes);
    }
};

/// A replica ended while it ran a content for the sender.
struct peer_crash {
    std::uint64_t fingerprint = 0;
    std::uint64_t replica = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint, replica);
    }
};

/// A content is not run, or is run again.
struct peer_quarantine {
    std::uint64_t fingerprint = 0;
    std::uint32_t revision = 0;
    std::uint32_t remaining_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint, revision, remaining_ms);
    }
};

/// What is said of a run at its content's gate.
enum class gate_message_kind : std::uint8_t {
    admission_request,
    admitted,
    deferred,
    proven,
    ended
};

/// A run of a content asks, is answered, or has shown something.
struct peer_gate_message {
    std::uint64_t fingerprint = 0;
    std::uint64_t attempt = 0;
    gate_message_kind kind = gate_message_kind::admission_request;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint, attempt, kind);
    }
};

/// One message between nodes. Datagrams may be lost: whatever one says is said
/// again, or is read from the list of replicas a little later.
struct peer_datagram {
    /// Tells two formats apart.
    std::uint32_t format = current_format;
    /// The sender's peer address, by which its group knows it.
    std::string from;
    /// Set when it says no more than that the sender is there.
    bool alive = false;
    std::vector<peer_replica_usage> replica_usages;
    std::vector<peer_replica_usage_query> usage_queries;
    /// Set when `replica_usages` answer these `usage_queries`.
    bool answers_queries = false;
    std::vector<peer_load_request> load_requests;
    std::vector<peer_adapter_usage> adapter_usages;
    std::vector<peer_residency> residencies;
    std::vector<peer_claim> claims;
    std::vector<peer_suspicion> suspicions;
    std::vector<peer_load_rejection> load_rejections;
    std::vector<peer_crash> crashes;
    /// Contents that have ended well after an end that the sender told.
    std::vector<std::uint64_t> completions;
    std::vector<peer_quarantine> quarantines;
    std::vector<peer_gate_message> gate_messages;
    /// One at most.
    std::vector<peer_registry_update> registry_updates;
    /// How far the sender has read what the operator declares; 0 when it says
    /// nothing of it.
    store_position declared_position;
    /// How much of it the sender knows: the sum of all versions.
    std::uint64_t declared_total = 0;
    /// Set while the sender has begun and waits to hear how much others know:
    /// it is told at once.
    bool queries_declared = false;
    /// The sender knows which contents were held before it began.
    bool knows_quarantines = false;

    static constexpr std::uint32_t current_format = 8;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            format, from, alive, replica_usages, usage_queries, answers_queries,
            load_requests, adapter_usages, residencies, claims, suspicions,
            load_rejections, crashes, completions, quarantines, gate_messages,
            registry_updates, declared_position, declared_total,
            queries_declared, knows_quarantines);
    }
    /// @returns true when there is nothing to say
    bool empty() const noexcept {
        return !alive && replica_usages.empty() && usage_queries.empty() &&
               load_requests.empty() && adapter_usages.empty() &&
               residencies.empty() && claims.empty() && suspicions.empty() &&
               load_rejections.empty() && crashes.empty() &&
               completions.empty() && quarantines.empty() &&
               gate_messages.empty() && registry_updates.empty();
    }
};

/// Entries of one datagram; with names of some twenty bytes they stay below
/// the longest datagram.
inline constexpr std::size_t max_entries_per_datagram = 24;

/// Takes the entries for one datagram out of those that are to be told.
template <class Entry>
std::vector<Entry> drain_batch(std::vector<Entry>& from) {
    std::size_t const count = std::min(from.size(), max_entries_per_datagram);
    auto const middle = from.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<Entry> taken(from.begin(), middle);
    from.erase(from.begin(), middle);
    return taken;
}

/// @returns what a message says of a time; 0 for one that has passed
std::uint32_t clamped_milliseconds(duration time);
/// @returns the message's bytes
std::string encode(peer_datagram const& message);
/// @returns the message; nothing when the bytes are none of this format
std::optional<peer_datagram> decode_peer_datagram(std::string_view bytes);

} // namespace camphorpoint
