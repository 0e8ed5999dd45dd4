#pragma once

#include <Camphorpoint/Core>
#include <Camphorpoint/Ownership>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace camphorpoint::ownership_test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr milliseconds step{100};

/// A model of the platform's log that can inject faults.
struct control_log {
    std::vector<log_record> records;
    log_offset first;
    bool down = false;
    /// When true, the next append takes effect but its answer is lost.
    bool lose_answer = false;

    log_offset append(std::string data, instant now = {});
    log_batch read(log_offset from, instant started) const;
    /// @returns the batch that a lagging copy of the log returns
    /// @param known_until records appended after this time are missing
    log_batch
    read_lagging(log_offset from, instant started, instant known_until) const;
    /// Expires all records.
    void expire();
};

/// One node: its ownership manager, its clock, and the actions that its
/// services received.
struct test_node {
    ownership_manager manager;
    node_run self;
    bool paused = false;
    bool leaving = false;
    bool dead = false;
    bool cut_from_log = false;
    /// Offset and rate error (in parts per million) of the node's clock against
    /// the test's clock.
    duration clock_ahead{};
    std::int64_t clock_rate_error = 0;
    std::vector<ownership_gained> gained = {};
    std::vector<ownership_lost> lost = {};
    std::vector<handover_requested> requested = {};
    std::vector<handover_aborted> aborted = {};
};

/// Several nodes that share one log, on virtual time.
class cluster {
public:
    explicit cluster(
        std::vector<resource_id> resources, ownership_settings settings = {});

    test_node& start(std::string const& name, std::uint64_t run = 1);
    test_node& node(std::string const& name);
    /// Keeps the old run of a node alive but cut off from the log, and starts a
    /// second run with the same node name.
    test_node& start_second_run(std::string const& name, std::uint64_t run);
    /// @returns the time on the clock of the node
    instant clock_of(test_node const& which) const;
    /// @returns all nodes, including former runs
    std::map<std::string, test_node>& all() { return nodes_; }
    /// Sets the nodes that all running nodes regard as live.
    void set_live(std::vector<std::string> const& names);
    /// Begins a planned stop of a node and informs all nodes of it.
    void drain(test_node& which);
    /// Advances the time and performs the actions of the nodes.
    void run(duration span);
    /// Advances the time until a node has authority for the resource. Fails the
    /// test when this takes longer than 100 s.
    /// @returns the name of the node
    std::string run_until_owned(resource_id const& resource);
    /// @returns the nodes that have authority for the resource now, including
    /// paused ones
    std::vector<std::string> nodes_with_authority(resource_id const& resource);

    /// Fails the test when a node may evict while more than one node may grant.
    void check_evictions(resource_id const& resource);

    control_log log;
    instant now{seconds(1'000)};
    std::uint64_t appends = 0;
    /// Whether services answer handover_requested immediately.
    bool services_stop_at_once = true;
    /// Whether messages between nodes are delivered.
    bool messages_arrive = true;
    /// Largest number of steps that an answer of the log takes (0: immediate),
    /// and largest lag of a copy of the log.
    std::size_t max_answer_steps = 0;
    milliseconds max_copy_lag{0};
    std::mt19937_64 random{1};

private:
    /// An answer of the log in transit to a node.
    struct answer {
        std::string to;
        std::uint64_t run = 0;
        std::size_t steps = 0;
        log_batch batch;
    };

    void deliver_answers();
    void perform(test_node& from);
    void perform(test_node& from, control_read const& read);
    void perform(test_node& from, control_append const& append);
    void perform(test_node& from, send_ownership_message const& send);

    std::vector<resource_id> resources_;
    ownership_settings settings_;
    std::map<std::string, test_node> nodes_;
    std::vector<std::string> live_;
    std::vector<answer> pending_answers_;
};

} // namespace camphorpoint::ownership_test
