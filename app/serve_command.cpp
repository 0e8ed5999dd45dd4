#include "Gateway/gateway_settings.hpp"
#include "Node/node.hpp"
#include "Node/serving_setup.hpp"
#include "Serving/node_core.hpp"
#include "Telemetry/log_writer.hpp"
#include "app/command.hpp"
#include "app/files.hpp"
#include "app/flags.hpp"
#include "app/gateway_command.hpp"
#include "app/signals.hpp"
#include "platform/settings_place.hpp"

#include <absl/flags/flag.h>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <random>

namespace camphorpoint {

exit_code run_serve(command_words const& words) {
    std::string file = absl::GetFlag(FLAGS_settings);
    if (file.empty()) {
        file = platform::settings_path();
    }
    std::optional<std::string> const text = read_file(file);
    if (!text || !words.empty()) {
        fmt::print(stderr, "serve: --settings must name a readable file\n");
        return exit_code::usage;
    }
    if (is_gateway_settings(*text)) {
        return run_gateway(file, *text);
    }
    findings problems;
    node_settings const settings = read_node_settings(file, *text, problems);
    if (!problems.empty()) {
        fmt::print(stderr, "{}", problems.report());
        return exit_code::usage;
    }
    auto const run = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    boost::asio::io_context io(1);
    log_writer log;
    node_core core(
        make_serving_settings(settings, run, std::random_device()()));
    node running(io, settings, run, make_decisions(core), log);
    // A stop that drain_limit cut off is a planned stop all the same; the log
    // says drained=false.
    running.on_stopped([&](bool) { io.stop(); });
    if (!running.start(problems)) {
        fmt::print(stderr, "{}", problems.report());
        return exit_code::failed;
    }
    // The settings of this kind of node are read once.
    std::signal(SIGHUP, SIG_IGN);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](auto const& error, int) {
        if (!error) {
            running.drain();
        }
    });
    release_signals();
    io.run();
    return exit_code::ok;
}

} // namespace camphorpoint
