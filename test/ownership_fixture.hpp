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

/// The platform's log, with what can go wrong on it.
struct control_log {
    std::vector<log_record> records;
    log_offset first;
    bool down = false;
    /// The next append takes effect, but its answer is lost.
    bool lose_answer = false;

    log_offset append(std::string data, instant now = {});
    log_batch read(log_offset from, instant started) const;
    /// @returns a batch as a copy of the log that is behind would give it
    log_batch
    read_lagging(log_offset from, instant started, instant known_until) const;
    /// Drops all records.
    void expire();
};

/// One node: its owner, its clock, and what it was told.
struct test_node {
    ownership_manager manager;
    node_run self;
    bool paused = false;
    bool leaving = false;
    bool dead = false;
    bool cut_from_log = false;
    /// How its clock differs from the test's.
    duration clock_ahead{};
    std::int64_t clock_rate_error = 0;
    std::vector<ownership_gained> gained = {};
    std::vector<ownership_lost> lost = {};
    std::vector<handover_requested> requested = {};
    std::vector<handover_aborted> aborted = {};
};

/// Several nodes on one log, on virtual time.
class cluster {
public:
    explicit cluster(
        std::vector<resource_id> resources, ownership_settings settings = {});

    test_node& start(std::string const& name, std::uint64_t run = 1);
    test_node& node(std::string const& name);
    /// Leaves the old run of a node going, cut off from the log, and starts
    /// another under its name.
    test_node& start_second_run(std::string const& name, std::uint64_t run);
    /// @returns the time on a node's own clock
    instant clock_of(test_node const& which) const;
    /// @returns all nodes, former runs included
    std::map<std::string, test_node>& all() { return nodes_; }
    /// Tells all nodes who lives.
    void set_live(std::vector<std::string> const& names);
    /// Begins a planned stop, of which all nodes hear.
    void drain(test_node& which);
    /// Lets time pass; answers what the nodes ask.
    void run(duration span);
    /// Runs until the resource's owner may act.
    /// @returns the owner's name
    std::string run_until_owned(resource_id const& resource);
    /// @returns the live, running nodes that may act for the resource now
    std::vector<std::string> nodes_with_authority(resource_id const& resource);

    /// Fails the test when one may evict while another may grant.
    void check_evictions(resource_id const& resource);

    control_log log;
    instant now{seconds(1'000)};
    std::uint64_t appends = 0;
    /// Whether services answer handover_requested at once.
    bool services_stop_at_once = true;
    /// Whether messages between nodes arrive.
    bool messages_arrive = true;
    /// For how many steps an answer of the log is under way at the most, and
    /// how far its copies are behind at the most.
    std::size_t max_answer_steps = 0;
    milliseconds max_copy_lag{0};
    std::mt19937_64 random{1};

private:
    /// An answer of the log that is under way.
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
