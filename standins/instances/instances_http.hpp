#pragma once

#include "Ports/http_server.hpp"
#include "instances/lagging_list.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace standins {

/// The HTTP form of the list of instances. docs/STANDINS.md lists the calls.
class instances_http {
public:
    explicit instances_http(std::chrono::milliseconds lag)
        : list_(lag) {}

    /// Answers one exchange.
    boost::asio::awaitable<void> answer(camphorpoint::http_exchange& exchange);

private:
    camphorpoint::http_response replace(std::string const& body);
    camphorpoint::http_response administer(std::string const& body);

    lagging_list list_;
    bool outage_ = false;
};

} // namespace standins
