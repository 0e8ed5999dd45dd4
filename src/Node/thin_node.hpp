#pragma once

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
/// serves callers from the engine that rendezvous hashing names.
class thin_node {
public:
    thin_node(boost::asio::io_context& io, node_settings settings);

    /// Binds the caller interface and starts to follow the platform.
    /// @returns the reason when the address cannot be had, empty on success
    std::string start();

private:
    boost::asio::awaitable<void> follow_log();
    boost::asio::awaitable<void> follow_instances();
    boost::asio::awaitable<void> answer(http_exchange& exchange);
    boost::asio::awaitable<void>
    complete(http_exchange& exchange, profile wanted, std::string body);
    boost::asio::awaitable<bool>
    order_load(engine_instance const& engine, std::string const& adapter);
    void take_records(std::string const& body);
    void take_instances(std::string const& body);
    engine_instance const* choose(profile const& wanted) const;

    boost::asio::io_context& io_;
    node_settings settings_;
    http_server server_;
    std::map<profile_name, profile> profiles_;
    std::map<endpoint_id, engine_instance> engines_;
    std::uint64_t next_offset_ = 0;
    std::uint64_t next_request_ = 1;
};

} // namespace camphorpoint
