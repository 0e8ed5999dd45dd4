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
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint::testing {

/// A replica stand-in and its HTTP server.
struct served_replica {
    served_replica(
        loopback& loop, std::string name, std::string model, unsigned slots);
    std::string address() const;

    std::string id;
    standins::replica_engine engine;
    http_server server;
};

/// One gateway node with stand-ins of the platform: the store, two replicas of
/// a model with adapters, and one replica of a plain service.
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
    /// @param path such as /gen/x. Requests to /gen/ stream and may be resumed,
    ///        to /once/ stream and may not be resumed, to /book/ run at most
    ///        once, to /look/ may be repeated.
    /// @param model the model and adapter; empty for none
    fetch_result
    ask(std::string path, std::string model = "", std::string id = "q1");
    /// Sends one request with the given body to one of the nodes and waits for
    /// its answer.
    /// @param node 0 for the first
    fetch_result send_to_node(
        std::size_t node, std::string path, std::string model, std::string id,
        std::string body, http_fields const& fields = {});
    /// Requests a stream of the service without adapters from one of the nodes.
    /// @param after number of the last event that the caller has, 0 for none
    /// @returns the received answer, also when it was cut off
    fetch_result
    stream_from_node(std::size_t node, std::string path, unsigned after);
    /// Requests a stream of the service without adapters without waiting.
    /// @param patience the deadline that the request names
    /// @param result   receives the answer, also when it was cut off; must
    ///                 outlive the request
    void stream_from_node_async(
        std::size_t node, std::string path, std::chrono::milliseconds patience,
        std::optional<fetch_result>& result);
    /// Starts an additional node and waits until it is ready.
    void add_node();
    /// Starts an additional node without waiting until it is ready.
    void start_node();
    /// @returns one of the nodes
    /// @param which 0 for the first
    gateway& node_at(std::size_t which);
    /// @returns when a node was last started
    /// @param which 0 for the first
    instant started(std::size_t which) const;
    /// Closes the connections between one of the additional nodes and the
    /// store; further calls are refused until `reconnect_store`.
    void disconnect_store(std::size_t which);
    void reconnect_store(std::size_t which);
    /// Stops all nodes and starts as many new ones, which have no state.
    void restart_nodes();
    /// Stops one of the additional nodes.
    void retire_node(std::size_t which);
    /// Stops a node and keeps it until the fixture ends, since its last pending
    /// operations still complete on the loop.
    void retire(std::unique_ptr<gateway> which);
    /// Keeps a node that a test has stopped until the fixture ends.
    void keep_stopped(std::unique_ptr<gateway> which);
    /// Lists additional replicas of the model. From then on each replica of the
    /// model crashes when it runs a request with the given body.
    void add_replicas(unsigned count, std::string const& poison_body);
    /// From now on each replica of the model crashes when it begins to write an
    /// answer to a request with this part in its prompt.
    void crash_on_part(std::string const& part);
    /// Sends one request with additional header fields, and waits for its
    /// answer.
    fetch_result ask_with_fields(
        std::size_t node, std::string path, std::string id,
        http_fields const& fields);
    /// Sends one request without waiting; its answer is read and dropped.
    void send_async(std::string path, std::string model, std::string id);
    /// Sends one request to a node without waiting.
    /// @param statuses receives the status of the answer; must outlive the
    ///        request
    void send_to_node_async(
        std::size_t node, std::string path, std::string model, std::string id,
        std::string body, std::vector<int>& statuses,
        http_fields const& fields = {});
    /// @returns the number of attempts of a request over all replicas
    unsigned runs(std::string const& id) const;
    /// Writes the configuration to the store.
    void configure(unsigned version, std::string const& extra_route = "");
    /// JSON of the teams in the configurations to come; empty for none.
    std::string teams;
    /// @returns routes to add to a configuration, of about the given size in
    ///          bytes
    static std::string routes_of(std::size_t bytes);
    /// Lists a replica in the registry, or removes its entry.
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
    /// Number of replicas that a request has crashed.
    unsigned crashed_replicas = 0;
    /// Times of these crashes.
    std::vector<instant> crash_times;

private:
    struct additional_node {
        gateway_settings settings;
        std::unique_ptr<gateway> node;
        instant started;
        /// The node's own server of the store, which can be closed.
        std::unique_ptr<http_server> store;
    };
    boost::asio::awaitable<fetch_result> send(
        ip_address to, std::string path, std::string model, std::string id,
        std::string body, http_fields fields = {});
    boost::asio::awaitable<fetch_result> fetch_stream(
        ip_address to, std::string path, std::chrono::milliseconds patience,
        unsigned after);
    ip_address caller_address(std::size_t node) const;
    void start(gateway_settings const& with, std::unique_ptr<gateway>& which);
    void stop(std::unique_ptr<gateway>& which);
    void crash_on_body(served_replica& replica, std::string const& body);

    instant started_;
    std::vector<additional_node> additional_nodes_;
    /// Stopped nodes; their last pending operations still complete on the loop.
    std::vector<std::unique_ptr<gateway>> stopped_nodes_;

    http_server store_;
};

/// @returns the header field of a caller with this API key
http_fields with_key(std::string const& key);

/// Appends records without new information, so that the log of the topic grows
/// beyond the position from which a node reads on.
void append_filler_records(
    gateway_fixture& world, std::string const& topic, int count);

/// Runs the loop until the condition holds, at most for the given time.
/// @returns true when the condition has held
bool within(
    gateway_fixture& world, std::chrono::milliseconds time,
    std::function<bool()> const& holds);

} // namespace camphorpoint::testing
