#include "Node/thin_node.hpp"
#include "app/command.hpp"
#include "app/files.hpp"
#include "app/flags.hpp"

#include <absl/flags/flag.h>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>

namespace camphorpoint {

exit_code run_serve(command_words const& words) {
    std::string const file = absl::GetFlag(FLAGS_settings);
    std::optional<std::string> const text = read_file(file);
    if (!text || !words.empty()) {
        fmt::print(stderr, "serve: --settings must name a readable file\n");
        return exit_code::usage;
    }
    findings problems;
    node_settings const settings = read_node_settings(file, *text, problems);
    if (!problems.empty()) {
        fmt::print(stderr, "{}", problems.report());
        return exit_code::usage;
    }
    boost::asio::io_context io(1);
    thin_node node(io, settings);
    std::string const problem = node.start();
    if (!problem.empty()) {
        fmt::print(stderr, "cannot start: {}\n", problem);
        return exit_code::failed;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](auto const&, int) { io.stop(); });
    io.run();
    return exit_code::ok;
}

} // namespace camphorpoint
