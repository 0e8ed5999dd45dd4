#include "app/node_client.hpp"

#include "app/flags.hpp"

#include <absl/flags/flag.h>
#include <absl/time/time.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <utility>

namespace camphorpoint {

node_client::node_client(std::string const& address)
    : text_(address)
    , address_(parse_address(address)) {}

fetch_result node_client::get(std::string const& target) const {
    http_request request;
    request.target = target;
    return call(std::move(request));
}

fetch_result
node_client::post(std::string const& target, std::string body) const {
    http_request request;
    request.method = "POST";
    request.target = target;
    request.body = std::move(body);
    return call(std::move(request));
}

fetch_result node_client::call(http_request request) const {
    boost::asio::io_context io(1);
    auto const timeout =
        absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout));
    auto result = boost::asio::co_spawn(
        io, fetch(io.get_executor(), address_, std::move(request), timeout),
        boost::asio::use_future);
    io.run();
    return result.get();
}

void print_failure(
    std::string_view what, node_client const& node, fetch_result const& got) {
    switch (got.how) {
    case call_result::not_sent:
        fmt::print(stderr, "{}: {} does not answer\n", what, node.address());
        break;
    case call_result::lost:
        fmt::print(
            stderr, "{}: the answer of {} was lost\n", what, node.address());
        break;
    case call_result::answered:
        fmt::print(
            stderr, "{}: {} answered {}: {}\n", what, node.address(),
            got.response.status, got.response.body);
        break;
    }
}

} // namespace camphorpoint
