#include "common/standin_main.hpp"

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <utility>

namespace standins {

namespace asio = boost::asio;

int serve_standin(
    asio::io_context& io, std::string const& address,
    camphorpoint::http_handler handler) {
    camphorpoint::http_server server(
        io.get_executor(), camphorpoint::http_limits(), std::move(handler));
    std::string const problem =
        server.listen(camphorpoint::parse_address(address));
    if (!problem.empty()) {
        fmt::print(stderr, "cannot listen on {}: {}\n", address, problem);
        return 1;
    }
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](auto const&, int) { io.stop(); });
    io.run();
    return 0;
}

camphorpoint::http_response json_response(int status, std::string body) {
    camphorpoint::http_response response;
    response.status = status;
    response.fields.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

} // namespace standins
