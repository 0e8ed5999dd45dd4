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
struct replica_usage {
    unsigned running = 0;
    /// Prompt tokens that the replica has still to read.
    double backlog_tokens = 0;
    /// Adapters that could be loaded there at once, less those that wait.
    int free_slots = 0;
};

/// The runs of all nodes at the replicas that this node orders for, as each
/// node tells them when they begin and end. One node that counts for a replica
/// can say at any moment how full it is. Guards against herds: with many nodes,
/// counts that everybody tells everybody are a second old, all nodes then send
/// to the replica that was idle, and twice as many requests as it has slots
/// wait there while others are half empty.
class running_request_tracker {
public:
    /// A node tells its runs with an adapter at a replica.
    /// @param node          who tells
    /// @param replica       short name of the replica
    /// @param adapter       empty for a plain service
    /// @param running       all that the node has there with this adapter now
    /// @param prompt_tokens of prompts sent since its last word
    void update(
        std::string const& node, std::uint64_t replica,
        adapter_id const& adapter, unsigned running, unsigned prompt_tokens,
        instant now);

    /// Somebody was told how full a replica is, and sends there by that, with
    /// this probability. Until its run is told it counts, so that those who ask
    /// at the same moment do not all hear the same.
    void add_expected_request(
        std::uint64_t replica, double probability, instant now);
    /// Somebody waits for a load there and will send when it has come.
    void add_waiting_request(std::uint64_t replica, instant now);

    /// @returns what all nodes have there, and are about to have
    replica_usage usage(std::uint64_t replica, instant now) const;
    /// @returns true while some node has runs with the adapter there
    bool in_use(std::uint64_t replica, adapter_id const& adapter) const;
    /// Drops what nodes have told that are silent by now.
    void drop_timed_out_nodes(instant now);

private:
    struct node_requests {
        unsigned running = 0;
        instant reported_at;
    };
    using reporter = std::pair<std::string, adapter_id>;
    /// A count of what is about to come, which fades as it comes.
    class decaying_count {
    public:
        void add(double amount, duration half_life, instant now);
        double value(duration half_life, instant now) const;

    private:
        double sum_ = 0;
        instant updated_at_;
    };
    struct replica_state {
        std::map<reporter, node_requests> requests;
        std::unordered_map<adapter_id, unsigned> by_adapter;
        unsigned running = 0;
        prompt_backlog backlog;
        decaying_count expected;
        decaying_count waiting;
    };

    static void adjust(
        replica_state& state, adapter_id const& adapter, unsigned from,
        unsigned to);

    std::unordered_map<std::uint64_t, replica_state> replicas_;
};

} // namespace camphorpoint
