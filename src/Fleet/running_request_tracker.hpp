#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Fleet/attempt_report.hpp"
#include "Fleet/machine_slowdown.hpp"
#include "Fleet/prompt_backlog.hpp"
#include "Fleet/replica_outcomes.hpp"
#include "Fleet/replica_pace.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace camphorpoint {

/// What all nodes together have running at one replica.
struct replica_usage {
    unsigned running = 0;
    /// Prompt tokens that the replica has yet to process.
    double backlog_tokens = 0;
    /// Adapters that could be loaded there at once, less those that wait for a
    /// load. Negative when more adapters wait.
    int free_slots = 0;
    replica_condition condition;
};

/// Counts the running requests of all nodes at the replicas that this node
/// controls. Each node reports its requests when they start and complete. A
/// single node that counts for a replica can say at any moment how full it is.
/// Guards against herding: with many nodes, counts that every node broadcasts
/// are a second old. All nodes then send to the replica that was idle, and
/// twice as many requests as it has slots wait there while other replicas are
/// half empty.
class running_request_tracker {
public:
    /// Applies a node's report of its running requests with an adapter at a
    /// replica.
    /// @param node name of the reporting node
    /// @param replica `fleet::id_hash` of the replica
    /// @param adapter empty for a plain service
    /// @param running all requests that the node has running there with this
    ///                adapter
    /// @param prompt_tokens tokens of the prompts that the node has sent there
    ///                      since its last report
    void update(
        std::string const& node, std::uint64_t replica,
        adapter_id const& adapter, unsigned running, unsigned prompt_tokens,
        instant now);

    /// Records what an answer of a replica says about its machine.
    /// @param factor 1 when work takes as long as usual
    void add_slowdown(std::uint64_t replica, double factor, instant now);
    /// Sets what this node knows of a replica for which requests are counted.
    /// @param slots      number of its slots
    /// @param process    what runs there; a change forgets the learnt pace
    /// @param token_time how long it takes for a prompt token
    void describe(
        std::uint64_t replica, unsigned slots,
        std::optional<incarnation> process, duration token_time, instant now);
    /// Applies a node's report of an attempt that has ended at a replica.
    /// @param slots number of the replica's slots
    /// @returns what this changes for the requests of all nodes
    avoidance_change add_attempt(
        std::uint64_t replica, unsigned slots, attempt_report const& report,
        instant now);
    /// Permits a node that asks for the usage of an avoided replica one attempt
    /// there, when one is due.
    /// @param suitable see `replica_outcomes::take_probe`
    bool take_probe(std::uint64_t replica, bool suitable, instant now);
    /// @returns what the nodes have reported of attempts there, or null
    replica_outcomes const* outcomes(std::uint64_t replica) const;
    /// Forgets the outcomes of a replica that has restarted.
    /// @returns true when the replica was avoided
    bool forget_outcomes(std::uint64_t replica);
    /// Records that a node was told how full a replica is and will, with this
    /// probability, send a request there. The expected request counts until it
    /// is reported, so that nodes that ask at the same moment do not all get
    /// the same answer.
    void add_expected_request(
        std::uint64_t replica, double probability, instant now);
    /// Records that a request waits for a load at the replica and will be sent
    /// when the load completes.
    void add_waiting_request(std::uint64_t replica, instant now);

    /// @returns what all nodes have running there and are about to send there;
    ///          `free_slots` is not set
    replica_usage usage(std::uint64_t replica, instant now) const;
    /// @returns what all nodes report to run there
    unsigned running(std::uint64_t replica) const;
    /// @returns true while any node has running requests with the adapter there
    bool in_use(std::uint64_t replica, adapter_id const& adapter) const;
    /// Drops the reports of nodes from which no report was received within the
    /// time limit.
    void drop_timed_out_nodes(instant now);

private:
    struct node_requests {
        unsigned running = 0;
        instant reported_at;
    };
    using reporter = std::pair<std::string, adapter_id>;
    /// A count of requests that are about to be sent; it decays while they are
    /// sent.
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
        replica_pace pace;
        machine_slowdown slowdown;
        unsigned slots = 1;
        replica_outcomes outcomes;
    };

    static void adjust(
        replica_state& state, adapter_id const& adapter, unsigned from,
        unsigned to);

    std::unordered_map<std::uint64_t, replica_state> replicas_;
};

} // namespace camphorpoint
