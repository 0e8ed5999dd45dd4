#pragma once

#include "test/gateway/gateway_fixture.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace camphorpoint::testing {

/// How new connections to the replicas fail.
enum class partition_kind { refused, hanging };

/// An additional node whose connections to all replicas can be cut, while the
/// store, its callers and the other nodes reach it. It has a registry of its
/// own, which names other addresses of the replicas.
class partitioned_node {
public:
    /// Starts the node with its links, and waits until it is ready and knows
    /// the other nodes.
    explicit partitioned_node(gateway_fixture& world);
    ~partitioned_node();

    /// Cuts the node off from all replicas.
    void cut(partition_kind kind);
    /// Lets new connections to the replicas through again.
    void heal();
    /// Sends one request to the node and waits for its answer.
    fetch_result
    ask(std::string path, std::string model, std::string id,
        http_fields fields = {});
    /// Sends requests to the node until one of them is served, for at most the
    /// time in which a partition must be noticed.
    /// @returns true when one was served
    bool await_service(std::string const& path, std::string const& model);
    /// @returns true when the node holds a partition of the replicas
    bool holds_partitions();

    gateway& node() { return *node_; }
    gateway_settings const& settings() const { return settings_; }

private:
    void list_replicas();

    gateway_fixture& world_;
    /// Answers calls about the replica registry only. Shared with the server's
    /// pending calls, which complete on the loop later.
    std::shared_ptr<standins::metadata_http> registry_ =
        std::make_shared<standins::metadata_http>();
    http_server store_;
    gateway_settings settings_;
    std::unique_ptr<gateway> node_;
    /// Accepts no connection; further ones hang.
    boost::asio::ip::tcp::acceptor full_listener_;
    std::vector<boost::asio::ip::tcp::socket> backlog_;
    /// Address that the registry names for each replica; empty for the true
    /// one.
    std::string replaced_address_;
};

} // namespace camphorpoint::testing
