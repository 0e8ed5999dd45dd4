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

/// Maximum size of a datagram, chosen so that no network path fragments it.
inline constexpr std::size_t max_datagram_bytes = 1'200;

/// What an update reports.
enum class update_kind : std::uint8_t {
    node_alive,
    node_suspect,
    node_dead,
    node_leaving,
    endpoint_leaving
};

/// Properties of a node that it sends about itself where the platform's
/// instance list has no nodes.
struct node_attributes {
    domain_id domain;
    /// The node's CPU share in percent of one core; 0 if unknown.
    std::uint32_t processor_percent = 0;

    friend bool
    operator==(node_attributes const&, node_attributes const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(domain, processor_percent);
    }
};

/// One gossiped change of the state of a node or an endpoint.
struct membership_update {
    update_kind kind = update_kind::node_alive;
    /// Id of the node or the endpoint.
    std::string name;
    /// The node's incarnation to which the update applies.
    incarnation node_incarnation;
    /// The nodes whose own probes failed (node_suspect and node_dead only). A
    /// node is not declared dead on the evidence of a single node.
    std::vector<node_id> suspected_by;
    /// Attributes of the node; empty if the platform's instance list gives
    /// them.
    node_attributes attributes;

    friend bool
    operator==(membership_update const&, membership_update const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(kind, name, node_incarnation, suspected_by, attributes);
    }
};

/// Digest of the set of members that a node knows. Different digests mean that
/// two nodes know different members.
struct member_digest {
    /// Number of members, the node itself included; 0 if the members come from
    /// the platform's instance list.
    std::uint32_t count = 0;
    /// Sum of the hashes of the ids, which does not depend on their order.
    std::uint64_t name_hash_sum = 0;

    friend bool
    operator==(member_digest const&, member_digest const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(count, name_hash_sum);
    }
};

/// Asks for an ack. With `sequence` 0 it only carries updates and the sender
/// expects no ack.
struct probe {
    node_id from;
    incarnation from_incarnation;
    /// Peer address for the ack. The sender may be too new for the receiver's
    /// instance list; without the address it would get no ack and take the
    /// receiver for dead.
    std::string from_address;
    node_attributes from_attributes;
    member_digest digest;
    std::uint32_t sequence = 0;
    /// In an indirect probe: the node that requested it, to which the ack is
    /// forwarded; else empty.
    node_id on_behalf_of;
    /// In an indirect probe: the sequence number of the requester's own probe.
    std::uint32_t requester_sequence = 0;
    std::vector<membership_update> updates;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            from, from_incarnation, from_address, from_attributes, digest,
            sequence, on_behalf_of, requester_sequence, updates);
    }
};

/// Answer to a probe.
struct probe_ack {
    /// The node that the ack shows to be alive.
    node_id from;
    incarnation from_incarnation;
    node_attributes from_attributes;
    member_digest digest;
    /// Sequence number of the probe that is answered.
    std::uint32_t sequence = 0;
    /// Copied from an indirect probe: the node to which the ack is forwarded.
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

/// Asks the receiver to probe `target` and to forward the ack.
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

/// Asks for the live members whose ids follow `after` in the order of ids.
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

/// One page of the live members that the sender knows, in the order of their
/// ids.
struct member_list_page {
    node_id from;
    incarnation from_incarnation;
    node_attributes from_attributes;
    /// True if further members follow the last one in this page.
    bool has_more = false;
    std::vector<membership_update> updates;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(from, from_incarnation, from_attributes, has_more, updates);
    }
};

/// Asks a holder of quota units to lend part of its quota share.
struct quota_loan_request {
    node_id from;
    incarnation from_incarnation;
    std::uint32_t request_number = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(from, from_incarnation, request_number);
    }
};

/// Lends part of the sender's quota share. The loan ends
/// `quota_loan_times::lease` after the request was sent.
struct quota_loan_reply {
    node_id from;
    incarnation from_incarnation;
    /// Number of the request that is answered.
    std::uint32_t request_number = 0;
    /// Amount lent, in billionths of the limit.
    std::uint32_t amount = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(from, from_incarnation, request_number, amount);
    }
};

/// Any message that nodes send to each other by datagram.
using probe_message = std::variant<
    probe, probe_ack, probe_request, member_list_request, member_list_page,
    quota_loan_request, quota_loan_reply>;

/// @returns the message as the bytes of a datagram
std::string encode_probe(probe_message const& message);
/// Decodes a datagram. Truncated or oversized datagrams, trailing bytes and
/// unknown update kinds are rejected.
/// @returns the message; nothing if the datagram is rejected
std::optional<probe_message> decode_probe(std::string_view datagram);

} // namespace camphorpoint
