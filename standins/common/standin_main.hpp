#pragma once

#include "Ports/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <string>

namespace standins {

/// Serves until SIGTERM or SIGINT.
/// @param io      the loop
/// @param address where to listen, such as 127.0.0.1:7001
/// @param handler answers each exchange
/// @returns the exit code
int serve_standin(
    boost::asio::io_context& io, std::string const& address,
    camphorpoint::http_handler handler);

/// @returns an answer with a JSON body
camphorpoint::http_response json_response(int status, std::string body);

} // namespace standins
