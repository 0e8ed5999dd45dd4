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
inline constexpr std::size_t longest_datagram = 1'200;

/// What an update says.
enum class update_kind : std::uint8_t {
    node_alive,
    node_suspect,
    node_dead,
    node_leaving,
    endpoint_leaving
};

/// One piece of news, carried on probes.
struct membership_update {
    update_kind kind = update_kind::node_alive;
    /// The node or the endpoint.
    std::string name;
    /// The node's incarnation that is spoken of.
    incarnation at;
    /// The nodes whose own probes failed (suspect, dead). One alone removes
    /// nobody.
    std::vector<node_id> accusers;

    friend bool
    operator==(membership_update const&, membership_update const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(kind, name, at, accusers);
    }
};

/// Are you alive? Also carries updates alone, when `sequence` is 0: then no
/// answer is wanted.
struct probe {
    node_id from;
    incarnation at;
    /// Where the answer goes: a new node may not be in the receiver's late
    /// list yet, and must not take silence for death.
    std::string from_address;
    std::uint32_t sequence = 0;
    /// For whom the answer is, when it is an indirect probe.
    node_id on_behalf_of;
    std::uint32_t their_sequence = 0;
    std::vector<membership_update> updates;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            from, at, from_address, sequence, on_behalf_of, their_sequence,
            updates);
    }
};

/// I am.
struct probe_ack {
    /// Who is alive.
    node_id from;
    incarnation at;
    /// The probe that is answered.
    std::uint32_t sequence = 0;
    /// Copied from an indirect probe: to whom the answer is passed on.
    node_id on_behalf_of;
    std::uint32_t their_sequence = 0;
    std::vector<membership_update> updates;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(from, at, sequence, on_behalf_of, their_sequence, updates);
    }
};

/// Probe that node for me.
struct probe_request {
    node_id from;
    incarnation at;
    std::uint32_t sequence = 0;
    node_id target;
    std::vector<membership_update> updates;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(from, at, sequence, target, updates);
    }
};

/// All that nodes say to each other by datagram.
using probe_message = std::variant<probe, probe_ack, probe_request>;

/// @returns the datagram's bytes
std::string encode_probe(probe_message const& message);
/// Reads a datagram strictly: what is cut, too long, or followed by more is
/// refused.
/// @returns the message, or nothing
std::optional<probe_message> decode_probe(std::string_view datagram);

} // namespace camphorpoint
