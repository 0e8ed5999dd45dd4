#pragma once

#include "Core/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace camphorpoint {

/// How long a starting node waits before it serves requests.
struct startup_gate_timeouts {
    /// For the member list and the first report of each node in it, from the
    /// first configuration on. A node that was killed stays in the list until
    /// its lease expires and sends no report.
    std::chrono::milliseconds peer_report_timeout{500};
    /// For what other nodes know but the store does not contain, from the first
    /// configuration on. The operator writes it again within seconds; after
    /// this time the node serves according to what it has read.
    std::chrono::milliseconds catch_up_timeout{8'000};
};

/// Decides whether a starting node may serve according to the declarations of
/// the operator that it has read. Guards against a node that takes an older
/// snapshot of the store for the newest state: it would answer 404 on a route
/// that was in force, or start requests on a version that was replaced. The
/// running nodes report how much they know, and a starting node waits for their
/// reports first.
class startup_gate {
public:
    /// @param timeouts how long the node waits
    explicit startup_gate(startup_gate_timeouts timeouts = {});

    /// Records that this node has a configuration.
    void mark_configured(instant now);
    /// Sets the members of the group and selects the peers to ask.
    /// @param own name of this node
    /// @param others names of the other members
    void set_peers(std::string_view own, std::set<std::string> const& others);
    /// Processes another node's report of how much it knows: the sum of all
    /// versions.
    /// @param from name of that node
    void handle_peer_total(std::string const& from, std::uint64_t total);

    /// Evaluates the gate. Once passed it stays so: a node that serves requests
    /// keeps its state.
    /// @param known the sum of all versions that this node knows
    /// @returns true when the node may serve requests
    bool passed(std::uint64_t known, instant now);
    /// @returns true once `passed` has returned true
    bool done() const noexcept { return done_; }
    /// @returns the names of the peers to ask
    std::set<std::string> const& peers_to_ask() const noexcept {
        return peers_to_ask_;
    }
    /// @returns the greatest total that other nodes have reported so far
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
