#include "Config/declaration_reader.hpp"
#include "Ports/http_client.hpp"
#include "app/commands.hpp"

#include <absl/flags/flag.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iterator>

ABSL_FLAG(std::string, log, "127.0.0.1:7001", "the platform's log service");

namespace camphorpoint {

int apply_command(std::string const& file) {
    std::ifstream stream(file);
    std::string const text(std::istreambuf_iterator<char>(stream), {});
    declaration_reader reader;
    reader.read(file, text);
    if (!reader.problems().empty()) {
        fmt::print(stderr, "{}", reader.problems().report());
        return 2;
    }
    boost::asio::io_context io(1);
    http_request request;
    request.method = "POST";
    request.target = "/streams/configuration/records";
    request.body = text;
    constexpr std::chrono::milliseconds timeout{5'000};
    auto result = boost::asio::co_spawn(
        io,
        fetch(
            io.get_executor(), parse_address(absl::GetFlag(FLAGS_log)), request,
            timeout),
        boost::asio::use_future);
    io.run();
    fetch_result const got = result.get();
    fmt::print("{}\n", got.response.body);
    return got.how == call_result::answered ? 0 : 1;
}

} // namespace camphorpoint
