#pragma once

#include "Core/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace camphorpoint {

/// How long a node that has begun waits before it serves.
struct startup_gate_timeouts {
    /// For the group's list and for the first word of each node in it, from
    /// the first configuration on. A node that was killed stays in the list
    /// for as long as its lease, and says nothing.
    std::chrono::milliseconds peer_report_timeout{500};
    /// For what others know and the store does not have, from the first
    /// configuration on. The operator writes it again within seconds; after
    /// this the node serves by what it has read.
    std::chrono::milliseconds catch_up_timeout{8'000};
};

/// Decides whether a node that has begun may serve by what it has read of what
/// the operator declares. Guards against a node that takes an older copy of the
/// store for the newest: it would answer 404 on a route that was in force, or
/// begin runs on a version that was replaced. It holds because the nodes that
/// run say how much they know, and a node that has begun hears them first.
class startup_gate {
public:
    /// @param times how long it waits
    explicit startup_gate(startup_gate_timeouts timeouts = {});

    /// There is a configuration.
    void mark_configured(instant now);
    /// The group's list has been read.
    /// @param own    this node's name
    /// @param others the other nodes in it, of which a few are to be asked
    void set_peers(std::string_view own, std::set<std::string> const& others);
    /// Another node has said how much it knows: the sum of all versions.
    void handle_peer_total(std::string const& from, std::uint64_t total);

    /// Once true it stays so: a node that serves keeps what it has.
    /// @param known the sum of all versions that this node knows
    /// @returns true when it may serve
    bool passed(std::uint64_t known, instant now);
    /// @returns true once it has passed
    bool done() const noexcept { return done_; }
    /// @returns the nodes that are to be asked
    std::set<std::string> const& peers_to_ask() const noexcept {
        return peers_to_ask_;
    }
    /// @returns the most that others have said so far
    std::uint64_t reported_total() const noexcept { return reported_total_; }

private:
    bool all_reported() const;

    startup_gate_timeouts timeouts_;
    std::optional<instant> configured_at_;
    bool peers_known_ = false;
    std::set<std::string> peers_to_ask_;
    std::set<std::string> reported_peers_;
    std::uint64_t reported_total_ = 0;
    bool done_ = false;
};

} // namespace camphorpoint
