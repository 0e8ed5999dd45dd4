#pragma once

#include "Gateway/gateway.hpp"
#include "Ports/http_client.hpp"
#include "Ports/http_server.hpp"
#include "metadata/metadata_http.hpp"
#include "replica/replica_engine.hpp"
#include "test/ports/loopback.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorpoint::testing {

/// A replica stand-in and the server that it answers on.
struct served_replica {
    served_replica(
        loopback& loop, std::string name, std::string model, unsigned slots);
    std::string address() const;

    std::string id;
    standins::replica_engine engine;
    http_server server;
};

/// One gateway node before stand-ins of the platform: two replicas of a model
/// with adapters, one of a plain service, the store.
class gateway_fixture {
public:
    /// Starts the node and waits until it is ready.
    gateway_fixture();
    /// Starts the node.
    /// @param before called before the node starts
    explicit gateway_fixture(
        std::function<void(gateway_fixture&)> const& before);
    ~gateway_fixture();

    /// Sends one request and waits for its answer.
    /// @param path  such as /gen/x; /gen/ streams and may be resumed, /once/
    ///              streams and may not, /book/ runs once, /look/ may repeat
    /// @param model the model and adapter; empty for none
    fetch_result
    ask(std::string path, std::string model = "", std::string id = "q1");
    /// Sends one request with a body of its own to one of the nodes.
    /// @param node 0 for the first
    fetch_result send_to_node(
        std::size_t node, std::string path, std::string model, std::string id,
        std::string body);
    /// Asks one of the nodes for a stream of the service without adapters.
    /// @param after the last event that the client has, 0 for none
    /// @returns what came, also of an answer that was cut
    fetch_result
    stream_from_node(std::size_t node, std::string path, unsigned after);
    /// Starts one node more and waits until it is ready.
    void add_node();
    /// Starts one node more, which need not be ready.
    void start_node();
    /// @returns one of the nodes
    /// @param which 0 for the first
    gateway& node_at(std::size_t which);
    /// @returns when a node was started last
    /// @param which 0 for the first
    instant started(std::size_t which) const;
    /// Ends the connections between one of the further nodes and the store;
    /// calls are refused until the way is there again.
    void disconnect_store(std::size_t which);
    void reconnect_store(std::size_t which);
    /// Stops all nodes and starts as many anew, which know nothing.
    void restart_nodes();
    /// Lists further replicas of the model. Each replica of it ends when it
    /// runs a request with the body.
    void add_replicas(unsigned count, std::string const& deadly_body);
    /// Sends one request beside others; its answer is read and dropped.
    void send_async(std::string path, std::string model, std::string id);
    /// Sends one request to a node beside others.
    /// @param ended gets the answer's status; must outlive the request
    void send_to_node_async(
        std::size_t node, std::string path, std::string model, std::string id,
        std::string body, std::vector<int>& statuses);
    /// @returns how often a request has run, over all replicas
    unsigned runs(std::string const& id) const;
    /// Writes the configuration.
    void configure(unsigned version, std::string const& extra_route = "");
    /// @returns routes to add to a configuration, with about so many bytes
    static std::string routes_of(std::size_t bytes);
    /// Lists a replica, or takes its entry out.
    void list(served_replica const& replica, std::string const& service);
    void unlist(served_replica const& replica);

    loopback loop;
    standins::metadata_http metadata;
    served_replica first{loop, "r1", "m", 3};
    served_replica second{loop, "r2", "m", 3};
    served_replica plain{loop, "p1", "", 0};
    gateway_settings settings;
    std::unique_ptr<gateway> node;
    std::vector<std::unique_ptr<served_replica>> more_replicas;
    /// Replicas that a request has ended.
    unsigned crashed_replicas = 0;
    /// When each of them did.
    std::vector<instant> crash_times;

private:
    struct additional_node {
        gateway_settings settings;
        std::unique_ptr<gateway> node;
        instant started;
        /// Where it reaches the store.
        std::unique_ptr<http_server> store;
    };
    boost::asio::awaitable<fetch_result> send(
        ip_address to, std::string path, std::string model, std::string id,
        std::string body);
    ip_address caller_address(std::size_t node) const;
    void start(gateway_settings const& with, std::unique_ptr<gateway>& which);
    void stop(std::unique_ptr<gateway>& which);
    void crash_on_body(served_replica& replica, std::string const& body);

    instant started_;
    std::vector<additional_node> additional_nodes_;
    /// Nodes that have stopped; their last waits still end on the loop.
    std::vector<std::unique_ptr<gateway>> stopped_nodes_;

    http_server store_;
};

/// Writes so many records that say nothing new, so that the store's end passes
/// the place that a node goes on from.
void append_filler_records(
    gateway_fixture& world, std::string const& topic, int count);

/// Runs the loop until the condition holds, for so long at the most.
/// @returns true when it has held
bool within(
    gateway_fixture& world, std::chrono::milliseconds time,
    std::function<bool()> const& holds);

} // namespace camphorpoint::testing
