#pragma once

#include "Serving/node_core.hpp"
#include "test/support/fake_engine.hpp"
#include "test/support/fake_log.hpp"
#include "test/support/fake_net.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace camphorpoint::test {

using std::chrono::milliseconds;

/// What one node of the cluster has shown.
struct cluster_node {
    node_instance instance;
    std::unique_ptr<node_core> core;
    /// Grows when the node starts anew; what was on its way to an earlier run
    /// is lost.
    std::uint64_t run = 0;
    /// A paused node handles nothing until it goes on; events wait.
    bool paused = false;
    std::vector<node_event> held_back;
    bool draining = false;
    bool drained = false;
};

/// Several nodes' decisions, joined by a net, a log, engines and an instance
/// list on virtual time. The same calls give the same actions in each run.
class cluster {
public:
    cluster(std::size_t nodes, std::size_t engines);

    /// Lets time pass.
    void run(milliseconds time);
    /// Puts a profile in force by a change in the log.
    void publish(profile next, std::uint64_t base_revision = 0);
    /// @returns a key that a caller would make now
    idempotency_key new_key();
    /// Hands a caller's request to a node.
    void post(std::size_t node, caller_request const& asked);
    /// Brings any event to a node now.
    void bring(std::size_t node, node_event event);
    void kill(std::size_t node);
    void start(std::size_t node);
    void go_on(std::size_t node);
    /// The engine's process ends and begins anew: its streams break off, its
    /// memory is empty.
    void restart_engine(std::size_t engine);
    /// The engine's process stands still, and goes on after a while.
    void silence_engine(std::size_t engine, milliseconds time);
    /// Breaks the connections of an engine's streams; it cancels them.
    void cut_streams(std::size_t engine);

    instant now() const { return now_; }
    wall_time wall() const;
    /// @returns true while the node has a stream on an engine
    bool streams(std::size_t node) const;
    /// @returns the node that owns a replica, by the first live node's word
    std::size_t owner_of(std::size_t engine) const;
    /// @returns how a request ended; fails the test when it has not
    finish_request ended(std::string const& id) const;
    bool has_ended(std::string const& id) const {
        return endings.contains(request_id(id));
    }
    /// @returns how often a request was begun, over all engines
    std::size_t begun(std::string const& id) const;

    std::vector<cluster_node> nodes;
    std::vector<fake_engine> engines;
    fake_log log;
    fake_net net;
    std::map<request_id, std::vector<finish_request>> endings;
    /// Attempts as they were started, in order.
    std::vector<start_attempt> attempts;
    /// Attempts that an engine took up as a new run, in order.
    std::vector<start_attempt> runs;
    /// Sees each event before a node handles it.
    std::function<void(std::size_t, node_event const&)> watch;
    /// Sees each action before it is carried out; false drops it.
    std::function<bool(std::size_t, node_action const&)> filter;

private:
    struct running_attempt {
        std::size_t node = 0;
        start_attempt order;
        std::uint32_t tokens = 0;
        /// When the engine last sent a token, or when the attempt began.
        instant heard{};
        bool answered = false;
        duration longest_silence{};
    };

    void after(duration delay, std::function<void()> what);
    void later(std::size_t node, duration delay, node_event event);
    void tick_all();
    void list_all();
    void carry_out(std::size_t node, node_action const& action);
    void on(std::size_t node, send_peer const& action);
    void on(std::size_t node, send_probe const& action);
    void on(std::size_t node, read_log const& action);
    void on(std::size_t node, append_log const& action);
    void on(std::size_t node, engine_order const& action);
    void on(std::size_t node, start_attempt const& action);
    void on(std::size_t node, cancel_attempt const& action);
    void on(std::size_t node, finish_request const& action);
    void on(std::size_t node, drain_finished const& action);
    void take_order(std::size_t node, engine_order const& order);
    void begin(running_attempt begun);
    void step(running_attempt attempt);
    /// Goes on with an attempt when its engine does, unless it has ended.
    void await_engine(
        running_attempt const& attempt, void (cluster::*next)(running_attempt));
    bool is_current(running_attempt const& attempt) const;
    duration silence_left(endpoint_id const& engine);
    void end_attempt(running_attempt const& attempt, attempt_result how);
    std::size_t index_of(node_id const& id) const;
    fake_engine& engine_at(endpoint_id const& id);

    instant now_{std::chrono::hours(1)};
    std::mt19937_64 random_{1};
    std::multimap<instant, std::function<void()>> queue_;
    std::map<request_id, running_attempt> running_;
};

} // namespace camphorpoint::test
