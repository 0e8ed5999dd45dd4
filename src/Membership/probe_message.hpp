#pragma once

#include "Core/ids.hpp"
#include "Membership/incarnation.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorpoint {

/// A datagram is never longer, so that it crosses every path unfragmented.
inline constexpr std::size_t max_datagram_bytes = 1'200;

/// What an update says.
enum class update_kind : std::uint8_t {
    node_alive,
    node_suspect,
    node_dead,
    node_leaving,
    endpoint_leaving
};

/// What a node tells of itself where no list does.
struct node_attributes {
    domain_id domain;
    /// Its processor's share of a core, in percent; 0 when it is not known.
    std::uint32_t processor_percent = 0;

    friend bool
    operator==(node_attributes const&, node_attributes const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(domain, processor_percent);
    }
};

/// One piece of news, carried on probes.
struct membership_update {
    update_kind kind = update_kind::node_alive;
    /// The node or the endpoint.
    std::string name;
    /// The node's incarnation that is spoken of.
    incarnation node_incarnation;
    /// The nodes whose own probes failed (suspect, dead). One alone removes
    /// nobody.
    std::vector<node_id> suspected_by;
    /// Of a node that was met; empty where the platform's list tells it.
    node_attributes attributes;

    friend bool
    operator==(membership_update const&, membership_update const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(kind, name, node_incarnation, suspected_by, attributes);
    }
};

/// Whom a node takes to be there: two that differ know different nodes.
struct member_digest {
    /// The node itself included; 0 where the platform's list names the nodes.
    std::uint32_t count = 0;
    /// Sum of the names' hashes, which no order changes.
    std::uint64_t name_hash_sum = 0;

    friend bool
    operator==(member_digest const&, member_digest const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(count, name_hash_sum);
    }
};

/// Are you alive? Also carries updates alone, when `sequence` is 0: then no
/// answer is wanted.
struct probe {
    node_id from;
    incarnation from_incarnation;
    /// Where the answer goes: a new node may not be in the receiver's late
    /// list yet, and must not take silence for death.
    std::string from_address;
    node_attributes from_attributes;
    member_digest digest;
    std::uint32_t sequence = 0;
    /// For whom the answer is, when it is an indirect probe.
    node_id on_behalf_of;
    std::uint32_t requester_sequence = 0;
    std::vector<membership_update> updates;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            from, from_incarnation, from_address, from_attributes, digest,
            sequence, on_behalf_of, requester_sequence, updates);
    }
};

/// I am.
struct probe_ack {
    /// Who is alive.
    node_id from;
    incarnation from_incarnation;
    node_attributes from_attributes;
    member_digest digest;
    /// The probe that is answered.
    std::uint32_t sequence = 0;
    /// Copied from an indirect probe: to whom the answer is passed on.
    node_id on_behalf_of;
    std::uint32_t requester_sequence = 0;
    std::vector<membership_update> updates;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            from, from_incarnation, from_attributes, digest, sequence,
            on_behalf_of, requester_sequence, updates);
    }
};

/// Probe that node for me.
struct probe_request {
    node_id from;
    incarnation from_incarnation;
    std::uint32_t sequence = 0;
    node_id target;
    std::vector<membership_update> updates;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(from, from_incarnation, sequence, target, updates);
    }
};

/// Whom do you know, in the order of names after this one?
struct member_list_request {
    node_id from;
    incarnation from_incarnation;
    node_attributes from_attributes;
    node_id after;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(from, from_incarnation, from_attributes, after);
    }
};

/// Some of those that the sender takes to be there.
struct member_list_page {
    node_id from;
    incarnation from_incarnation;
    node_attributes from_attributes;
    /// More follow after the last one named here.
    bool has_more = false;
    std::vector<membership_update> updates;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(from, from_incarnation, from_attributes, has_more, updates);
    }
};

/// May I use some of your part of the limits that all share?
struct quota_loan_request {
    node_id from;
    incarnation from_incarnation;
    std::uint32_t request_number = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(from, from_incarnation, request_number);
    }
};

/// So much, in billionths of a limit, for the time of a lease from the ask on.
struct quota_loan_reply {
    node_id from;
    incarnation from_incarnation;
    /// Of the ask.
    std::uint32_t request_number = 0;
    std::uint32_t amount = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(from, from_incarnation, request_number, amount);
    }
};

/// All that nodes say to each other by datagram.
using probe_message = std::variant<
    probe, probe_ack, probe_request, member_list_request, member_list_page,
    quota_loan_request, quota_loan_reply>;

/// @returns the datagram's bytes
std::string encode_probe(probe_message const& message);
/// Reads a datagram strictly: what is cut, too long, or followed by more is
/// refused.
/// @returns the message, or nothing
std::optional<probe_message> decode_probe(std::string_view datagram);

} // namespace camphorpoint
