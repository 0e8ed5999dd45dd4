#pragma once

#include "Core/ids.hpp"
#include "Records/engine_order.hpp"
#include "Records/instance_record.hpp"
#include "Records/log_record.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <optional>
#include <string>

namespace camphorpoint {

/// How an append ended, and where the record stands.
struct append_outcome {
    append_result how = append_result::not_sent;
    log_offset offset;
};

/// The platform's log. An append whose answer was lost is told apart from one
/// that was not sent.
template <class Port>
concept platform_log =
    requires(Port& port, log_stream stream, log_offset from, std::string data) {
    {
        port.read(stream, from)
        } -> std::same_as<boost::asio::awaitable<std::optional<log_batch>>>;
    {
        port.append(stream, data)
        } -> std::same_as<boost::asio::awaitable<append_outcome>>;
};

/// The platform's list of instances.
template <class Port>
concept platform_instances = requires(Port& port) {
    {
        port.read()
        } -> std::same_as<boost::asio::awaitable<std::optional<instance_list>>>;
};

/// What a node asks of model engines beside running requests.
template <class Port>
concept engine_orders =
    requires(Port& port, engine_order order, std::string address) {
    {
        port.order(order, address)
        } -> std::same_as<boost::asio::awaitable<order_result>>;
    {
        port.report(order.replica, address)
        } -> std::same_as<boost::asio::awaitable<std::optional<engine_report>>>;
};

} // namespace camphorpoint
