#pragma once

#include "Core/store_position.hpp"
#include "Core/time.hpp"
#include "Delivery/stream_origins.hpp"
#include "Fleet/replica_health.hpp"
#include "Fleet/replica_reachability.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ratio>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// A node's requests wait for an adapter at a replica, or a load of it is
/// prefetched.
struct peer_load_request {
    std::uint64_t replica = 0;
    std::string adapter;
    std::uint32_t version = 0;
    /// A value of `load_priority`.
    std::uint8_t priority = 0;
    /// Set for the first load request that the sender makes for a waiting
    /// request at this replica. Only such a request can be rejected; repeats
    /// keep their place.
    bool first_request = false;
    /// How long the request may wait for the load.
    std::uint32_t wait_budget_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            replica, adapter, version, priority, first_request, wait_budget_ms);
    }
};

/// How many of the sender's requests use an adapter at a replica.
struct peer_adapter_usage {
    std::uint64_t replica = 0;
    std::string adapter;
    std::uint32_t running = 0;
    /// Prompt tokens of the requests sent there since the sender's last
    /// message.
    std::uint32_t prompt_tokens = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, adapter, running, prompt_tokens);
    }
};

/// Sent by the controller of a replica: an adapter has become resident there,
/// or is about to be unloaded.
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

/// The sender holds the lease of a partition under this fencing number.
struct peer_claim {
    std::uint32_t partition = 0;
    std::uint64_t token = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(partition, token);
    }
};

/// The sender got no answer from a replica.
struct peer_suspicion {
    std::uint64_t replica = 0;
    std::uint32_t milliseconds = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, milliseconds);
    }
};

/// A replica has said in an answer that it leaves.
struct peer_leaving_replica {
    std::uint64_t replica = 0;
    /// Start of the process that leaves; 0 when it is not known.
    std::int64_t started_at_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, started_at_ms);
    }
};

/// Sent by the controller of a replica: an adapter would be ready there too
/// late for the request that waits for it.
struct peer_load_rejection {
    std::uint64_t replica = 0;
    std::string adapter;
    /// Expected time until the adapter would be ready.
    std::uint32_t expected_wait_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, adapter, expected_wait_ms);
    }
};

/// Asks the controller of a replica for the replica's usage, because the sender
/// has a request for an adapter that may run there.
struct peer_replica_usage_query {
    std::uint64_t replica = 0;
    std::string adapter;
    /// Number of replicas that the sender asks about; one of them gets the
    /// request.
    std::uint8_t queried_replicas = 1;
    /// The request loses little when it is sent to an avoided replica and
    /// fails.
    bool may_probe = false;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, adapter, queried_replicas, may_probe);
    }
};

/// Probabilities are sent in thousandths.
inline constexpr double permille = 1'000;

/// Bits of `peer_replica_usage::flags`.
enum peer_usage_flag : std::uint8_t {
    /// Requests should be sent to other replicas.
    usage_avoided = 1,
    /// The receiver may send one request there all the same. Only the answer to
    /// a query has this bit.
    usage_probe_permitted = 2,
    /// Probes have shown lately that the replica has recovered.
    usage_readmitted = 4
};

/// Usage of a replica by the requests of all nodes, sent by its controller.
struct peer_replica_usage {
    std::uint64_t replica = 0;
    std::uint16_t running = 0;
    std::uint16_t backlog_tokens = 0;
    /// How many more adapters could be loaded there now, less the pending load
    /// requests; negative when more are pending.
    std::int16_t free_slots = 0;
    /// Probability that the next attempt there fails.
    std::uint16_t failure_permille = 0;
    /// Time between two events of a stream at half load, and time for a prompt
    /// token; 0 when they are not known.
    std::uint16_t interval_ticks = 0;
    std::uint16_t token_ticks = 0;
    /// How long work takes on its machine, 100 as usual, as the replica last
    /// said, and how long ago; 0 when no statement holds.
    std::uint16_t slowdown_percent = 0;
    std::uint16_t slowdown_age_ms = 0;
    /// Values of `peer_usage_flag`.
    std::uint8_t flags = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            replica, running, backlog_tokens, free_slots, failure_permille,
            interval_ticks, token_ticks, slowdown_percent, slowdown_age_ms,
            flags);
    }
};

/// Units of `peer_replica_usage`: their largest counts are six seconds between
/// two events and six milliseconds for a prompt token.
using interval_tick =
    std::chrono::duration<std::uint32_t, std::ratio<1, 10'000>>;
using token_tick =
    std::chrono::duration<std::uint32_t, std::ratio<1, 10'000'000>>;
/// Factors are sent in hundredths.
inline constexpr double percent = 100;

/// An answer says how long work takes on a replica's machine at the moment, and
/// the sender has not known that. For the replica's controller.
struct peer_slowdown {
    std::uint64_t replica = 0;
    /// 100 as usual.
    std::uint16_t percent = 100;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, percent);
    }
};

/// An attempt of the sender has ended at a replica, for its controller.
struct peer_attempt_report {
    std::uint64_t replica = 0;
    health_signal signal = health_signal::answered;
    std::uint16_t prompt_tokens = 0;
    std::uint32_t first_output_us = 0;
    /// Mean time between two events; 0 when it is not known.
    std::uint32_t event_interval_us = 0;
    /// The controller had permitted the attempt at an avoided replica.
    bool probe = false;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            replica, signal, prompt_tokens, first_output_us, event_interval_us,
            probe);
    }
};

/// A replica's entry in the registry, or its removal. Adapters are left out:
/// the replica's controller reports them itself, and sooner.
struct peer_registry_entry {
    std::string id;
    /// Offset of the entry in the registry's log.
    std::uint64_t position = 0;
    bool listed = false;
    /// Start of the replica process in milliseconds since 1970; 0 when the
    /// entry has no start time.
    std::int64_t started_at_ms = 0;
    std::uint64_t heartbeat = 0;
    std::string service;
    std::string host;
    std::uint16_t port = 0;
    std::string domain;
    std::string software;
    std::uint32_t slots = 0;
    bool leaving = false;
    /// Time until the replica shuts down; 0 when the entry names none.
    std::uint32_t remaining_ms = 0;
    std::vector<std::string> models;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            id, position, listed, started_at_ms, heartbeat, service, host, port,
            domain, software, slots, leaving, remaining_ms, models);
    }
};

/// Changes of the registry that the sender has polled between two positions of
/// one store epoch.
struct peer_registry_update {
    store_position from;
    store_position to;
    std::vector<peer_registry_entry> changes;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(from, to, changes);
    }
};

/// A replica crashed during an attempt of a request that the sender made.
struct peer_crash {
    std::uint64_t fingerprint = 0;
    std::uint64_t replica = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint, replica);
    }
};

/// A replica crashed during an attempt of the sender before it had written any
/// part of the answer, to a request whose prompt has this part.
struct peer_part_crash {
    std::uint64_t part = 0;
    /// Fingerprint of the whole request.
    std::uint64_t request = 0;
    /// The other shared parts of its prompt.
    std::vector<std::uint64_t> companions;
    std::uint64_t replica = 0;
    /// Time since the attempt began, and since it was broken off.
    std::uint32_t attempt_age_ms = 0;
    std::uint32_t crash_age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            part, request, companions, replica, attempt_age_ms, crash_age_ms);
    }
};

/// Asks on which prompt parts the receiver has seen output of a replica. The
/// answer lists them in `completions`.
struct peer_part_inquiry {
    std::vector<std::uint64_t> parts;
    /// Output counts when it is at most this old.
    std::uint32_t since_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(parts, since_ms);
    }
};

/// A fingerprint is quarantined or released.
struct peer_quarantine {
    std::uint64_t fingerprint = 0;
    std::uint32_t revision = 0;
    std::uint32_t remaining_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint, revision, remaining_ms);
    }
};

/// Kind of a message between an attempt and its request's gate.
enum class gate_message_kind : std::uint8_t {
    admission_request,
    admitted,
    deferred,
    proven,
    ended
};

/// An attempt asks the gate of its request for admission, the gate answers, or
/// the attempt reports its outcome.
struct peer_gate_message {
    std::uint64_t fingerprint = 0;
    std::uint64_t attempt = 0;
    gate_message_kind kind = gate_message_kind::admission_request;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint, attempt, kind);
    }
};

/// An answer of a replica has named a rate limit, or none.
struct peer_rate_limit {
    std::uint64_t replica = 0;
    bool limited = false;
    /// Thousandths of a request per second.
    std::uint32_t milli_rate = 0;
    /// Time since the answer was received or, when it named no limit, since its
    /// request was sent.
    std::uint32_t age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, limited, milli_rate, age_ms);
    }
};

/// Answers have said that a service's replicas are brittle.
struct peer_brittle_service {
    std::string service;
    std::uint32_t max_rejections = 0;
    /// Time since the latest of these answers was received.
    std::uint32_t age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(service, max_rejections, age_ms);
    }
};

/// An answer of a replica whose service is brittle has not said so any more,
/// for its controller.
struct peer_brittleness_end {
    std::uint64_t replica = 0;
    /// Time since the answer's request was sent.
    std::uint32_t age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, age_ms);
    }
};

/// A brittle replica has rejected a request, for its controller.
struct peer_rejection {
    std::uint64_t replica = 0;
    /// Number of the question with which the slot was granted.
    std::uint64_t number = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, number);
    }
};

/// Asks the controller of a replica with a rate limit for a permit to send one
/// request, or the controller of a brittle replica for a slot.
struct peer_permit_request {
    std::uint64_t number = 0;
    /// The limit that the sender knows: the controller may be a new one. In a
    /// question for a slot, `age_ms` is the time since an answer last said that
    /// the replica is brittle, as far as the sender knows.
    peer_rate_limit limit;
    /// How long the request may wait.
    std::uint32_t budget_ms = 0;
    /// The question is for a slot of `limit.replica`, which bears
    /// `max_rejections` in a second.
    bool for_slot = false;
    std::uint32_t max_rejections = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(number, limit, budget_ms, for_slot, max_rejections);
    }
};

/// The controller's answer.
struct peer_permit_reply {
    std::uint64_t number = 0;
    bool granted = false;
    /// The replica no longer has a limit, or is no longer brittle.
    bool unlimited = false;
    /// When granted, the request is to be sent after this time; otherwise the
    /// time until the next permit.
    std::uint32_t wait_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(number, granted, unlimited, wait_ms);
    }
};

/// Kind of a message about the usage of a team.
enum class usage_message_kind : std::uint8_t {
    request,
    granted,
    denied,
    /// Granted units that were not used.
    returned
};

/// A node asks the node that counts a team's usage for the units of one
/// request, that node answers, or granted units are returned.
struct peer_usage_message {
    usage_message_kind kind = usage_message_kind::request;
    /// Identifies the question; the answer repeats it.
    std::uint64_t number = 0;
    std::uint64_t team = 0;
    std::uint64_t units = 0;
    /// In a request: what the sender has used without a grant since it was last
    /// answered.
    std::uint64_t unreported = 0;
    /// In a denial: time after which the same request would be granted.
    std::uint32_t retry_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(kind, number, team, units, unreported, retry_ms);
    }
};

/// A stream and the software version of the replica that writes it, for a
/// keeper of the stream.
struct peer_stream_record {
    std::uint64_t stream = 0;
    std::uint64_t software = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(stream, software);
    }
};

/// Asks a keeper what it knows of a stream that is to be resumed.
struct peer_stream_question {
    std::uint64_t number = 0;
    std::uint64_t stream = 0;
    std::string service;
    /// Fingerprint of the asking node's routes.
    std::uint64_t routes = 0;
    /// Version of the asking node's configuration.
    std::uint64_t configuration = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(number, stream, service, routes, configuration);
    }
};

/// The keeper's answer.
struct peer_stream_answer {
    std::uint64_t number = 0;
    std::uint64_t stream = 0;
    origin_state state = origin_state::unknown;
    std::uint64_t software = 0;
    /// What the keeper knows of the service's versions.
    version_knowledge versions = version_knowledge::none;
    std::uint64_t version = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(number, stream, state, software, versions, version);
    }
};

/// One message between nodes. Datagrams may be lost: all of their content is
/// sent again, or is read from the registry a little later.
struct peer_datagram {
    /// Version of the wire format; other versions are ignored.
    std::uint32_t format = current_format;
    /// Peer address of the sender, by which the members of its group know it.
    std::string from;
    /// Set in status messages, which are sent even when there is nothing else
    /// to report.
    bool alive = false;
    std::vector<peer_replica_usage> replica_usages;
    std::vector<peer_replica_usage_query> usage_queries;
    /// Set when `replica_usages` answers these `usage_queries`.
    bool answers_queries = false;
    std::vector<peer_load_request> load_requests;
    std::vector<peer_adapter_usage> adapter_usages;
    std::vector<peer_residency> residencies;
    std::vector<peer_claim> claims;
    std::vector<peer_suspicion> suspicions;
    std::vector<peer_load_rejection> load_rejections;
    std::vector<peer_crash> crashes;
    /// Fingerprints of which an attempt has completed without a crash, and of
    /// prompt parts on which a replica has written output, after a crash that
    /// the sender had reported, or as the answer to an inquiry.
    std::vector<std::uint64_t> completions;
    std::vector<peer_part_crash> part_crashes;
    std::vector<peer_part_inquiry> part_inquiries;
    std::vector<peer_quarantine> quarantines;
    std::vector<peer_gate_message> gate_messages;
    std::vector<peer_rate_limit> rate_limits;
    std::vector<peer_brittle_service> brittle_services;
    std::vector<peer_brittleness_end> brittleness_ends;
    std::vector<peer_rejection> rejections;
    std::vector<peer_leaving_replica> leaving_replicas;
    std::vector<peer_permit_request> permit_requests;
    std::vector<peer_permit_reply> permit_replies;
    std::vector<peer_usage_message> usage_messages;
    std::vector<peer_stream_record> stream_records;
    std::vector<peer_stream_question> stream_questions;
    std::vector<peer_stream_answer> stream_answers;
    std::vector<peer_attempt_report> attempt_reports;
    std::vector<peer_slowdown> slowdowns;
    /// At most one.
    std::vector<peer_registry_update> registry_updates;
    /// The sender's position in the operator's declarations; sent, like the
    /// members after it, in status messages only.
    store_position declared_position;
    /// How many declarations the sender knows: the sum of all versions.
    std::uint64_t declared_total = 0;
    /// Set while the sender is starting and waits for the positions of others:
    /// receivers answer at once.
    bool queries_declared = false;
    /// The sender knows the quarantines that were in force before it started.
    bool knows_quarantines = false;

    /// For how long polls of the registry, as far as the sender knows of them,
    /// were answered without an outage.
    std::uint32_t registry_answered_ms = 0;
    /// What the sender reaches of the replicas.
    replica_links links = replica_links::intact;

    static constexpr std::uint32_t current_format = 19;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(format, from, alive, answers_queries);
        if (alive) {
            archive(
                declared_position, declared_total, queries_declared,
                knows_quarantines, registry_answered_ms, links);
        }
        // Most datagrams have one list or two. Empty lists would make up most
        // of their bytes.
        std::uint32_t present = present_lists();
        archive(present);
        for_each_list(*this, [&](auto& list, std::uint32_t bit) {
            if ((present & bit) != 0) {
                archive(list);
            }
        });
    }
    /// @returns true when there is nothing to send
    bool empty() const noexcept { return !alive && present_lists() == 0; }

private:
    /// Calls a function with each list and its bit.
    template <class Datagram, class Function>
    static void for_each_list(Datagram& of, Function&& call) {
        std::uint32_t bit = 1;
        auto const visit = [&](auto&... lists) {
            ((call(lists, bit), bit <<= 1U), ...);
        };
        visit(
            of.replica_usages, of.usage_queries, of.load_requests,
            of.adapter_usages, of.residencies, of.claims, of.suspicions,
            of.load_rejections, of.crashes, of.completions, of.quarantines,
            of.gate_messages, of.rate_limits, of.brittle_services,
            of.rejections, of.leaving_replicas, of.permit_requests,
            of.permit_replies, of.usage_messages, of.stream_records,
            of.stream_questions, of.stream_answers, of.registry_updates,
            of.part_crashes, of.part_inquiries, of.attempt_reports,
            of.slowdowns, of.brittleness_ends);
    }
    std::uint32_t present_lists() const noexcept {
        std::uint32_t present = 0;
        for_each_list(*this, [&](auto const& list, std::uint32_t bit) {
            present |= list.empty() ? 0 : bit;
        });
        return present;
    }
};

/// Most entries of one list in a datagram. With names of about twenty bytes
/// they stay below the maximum size of a datagram.
inline constexpr std::size_t max_entries_per_datagram = 24;

/// Removes and returns the entries for one datagram.
template <class Entry>
std::vector<Entry> drain_batch(std::vector<Entry>& from) {
    std::size_t const count = std::min(from.size(), max_entries_per_datagram);
    auto const middle = from.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<Entry> taken(from.begin(), middle);
    from.erase(from.begin(), middle);
    return taken;
}

/// @returns a duration in whole milliseconds; 0 when it is negative
std::uint32_t clamped_milliseconds(duration time);
/// @returns the bytes of a message
std::string encode(peer_datagram const& message);
/// @returns the message; nothing when the bytes are not in the current format
std::optional<peer_datagram> decode_peer_datagram(std::string_view bytes);

} // namespace camphorpoint
