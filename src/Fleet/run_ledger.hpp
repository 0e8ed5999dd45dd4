#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Fleet/prompt_backlog.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace camphorpoint {

/// What all nodes together have at one replica.
struct replica_total {
    unsigned running = 0;
    /// Prompt tokens that the replica has still to read.
    double backlog_tokens = 0;
};

/// The runs of all nodes at the replicas that this node orders for, as each
/// node tells them when they begin and end. One node that counts for a replica
/// can say at any moment how full it is. Guards against herds: with many nodes,
/// counts that everybody tells everybody are a second old, all nodes then send
/// to the replica that was idle, and twice as many requests as it has slots
/// wait there while others are half empty.
class run_ledger {
public:
    /// A node tells its runs with an adapter at a replica.
    /// @param node          who tells
    /// @param replica       short name of the replica
    /// @param adapter       empty for a plain service
    /// @param running       all that the node has there with this adapter now
    /// @param prompt_tokens of prompts sent since its last word
    void told(
        std::string const& node, std::uint64_t replica,
        adapter_id const& adapter, unsigned running, unsigned prompt_tokens,
        instant now);

    /// @returns what all nodes have there
    replica_total total(std::uint64_t replica, instant now) const;
    /// @returns true while some node has runs with the adapter there
    bool in_use(
        std::uint64_t replica, adapter_id const& adapter, instant now) const;
    /// Drops what nodes have told that are silent by now.
    void forget_silent(instant now);

private:
    struct told_runs {
        unsigned running = 0;
        instant when;
    };
    using teller = std::pair<std::string, adapter_id>;
    struct at_replica {
        std::map<teller, told_runs> runs;
        prompt_backlog backlog;
    };

    static bool silent(told_runs const& of, instant now);

    std::unordered_map<std::uint64_t, at_replica> replicas_;
};

} // namespace camphorpoint
