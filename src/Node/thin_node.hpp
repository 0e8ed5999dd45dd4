#pragma once

#include "Config/configuration.hpp"
#include "Config/profile.hpp"
#include "Ports/http_server.hpp"
#include "Settings/node_settings.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>

namespace camphorpoint {

/// A model engine as the instance list names it.
struct engine_instance {
    endpoint_id id;
    model_id model;
    ip_address address;
};

/// The first, thin form of a node: follows the log and the instance list, and
/// serves callers from the engine that rendezvous hashing names. Of the
/// operator interface it has what the command line needs to apply and look at
/// changes.
class thin_node {
public:
    thin_node(boost::asio::io_context& io, node_settings settings);

    /// Binds its interfaces and starts to follow the platform.
    /// @returns the reason when the address cannot be had, empty on success
    std::string start();

private:
    boost::asio::awaitable<void> follow_log();
    boost::asio::awaitable<void> follow_instances();
    boost::asio::awaitable<void> answer(http_exchange& exchange);
    boost::asio::awaitable<void> answer_operator(http_exchange& exchange);
    boost::asio::awaitable<http_response> publish(std::string record);
    http_response read_operator(std::string const& path) const;
    boost::asio::awaitable<void>
    complete(http_exchange& exchange, profile wanted, std::string body);
    boost::asio::awaitable<bool>
    order_load(engine_instance const& engine, adapter_ref const& adapter);
    void take_records(std::string const& body);
    void take_instances(std::string const& body);
    engine_instance const* choose(profile const& wanted) const;

    boost::asio::io_context& io_;
    node_settings settings_;
    http_server server_;
    http_server operators_;
    configuration profiles_;
    std::map<endpoint_id, engine_instance> engines_;
    std::uint64_t next_request_ = 1;
};

} // namespace camphorpoint
