#include "Node/thin_node.hpp"
#include "app/commands.hpp"

#include <absl/flags/flag.h>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>

ABSL_FLAG(std::string, settings, "", "the node's settings file (TOML)");

namespace camphorpoint {

int serve_command() {
    std::string const file = absl::GetFlag(FLAGS_settings);
    std::ifstream stream(file);
    std::string const text(std::istreambuf_iterator<char>(stream), {});
    findings problems;
    node_settings const settings = read_node_settings(file, text, problems);
    if (!problems.empty()) {
        fmt::print(stderr, "{}", problems.report());
        return 2;
    }
    boost::asio::io_context io(1);
    thin_node node(io, settings);
    std::string const problem = node.start();
    if (!problem.empty()) {
        fmt::print(stderr, "cannot start: {}\n", problem);
        return 1;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](auto const&, int) { io.stop(); });
    io.run();
    return 0;
}

} // namespace camphorpoint
