#include "app/arguments.hpp"
#include "app/command.hpp"
#include "app/signals.hpp"

#include <fmt/format.h>

#include <cstdio>

namespace camphorpoint {

namespace {

exit_code run(arguments const& given) {
    std::string const name = given.words.empty() ? "" : given.words.front();
    command const* wanted = find_command(name);
    if (wanted == nullptr && given.help && name.empty()) {
        fmt::print("{}", usage_text());
        return exit_code::ok;
    }
    if (wanted == nullptr) {
        fmt::print(stderr, "{}", usage_text());
        return exit_code::usage;
    }
    if (given.help) {
        fmt::print("{}", help_text(*wanted));
        return exit_code::ok;
    }
    for (std::string const& each : given.problems) {
        fmt::print(stderr, "{}\n", each);
    }
    if (!given.problems.empty()) {
        return exit_code::usage;
    }
    // A node may be told to stop or to read its settings before it has set up
    // what handles the signal.
    if (wanted->run != run_serve) {
        release_signals();
    }
    return wanted->run({given.words.begin() + 1, given.words.end()});
}

} // namespace

} // namespace camphorpoint

/// Runs the command that the arguments name. The launcher calls it, with
/// SIGHUP, SIGTERM and SIGINT blocked.
/// @returns the exit code of the process
extern "C" int camphorpoint_main(int argc, char** argv) {
    auto const given = camphorpoint::parse_arguments({argv + 1, argv + argc});
    return static_cast<int>(camphorpoint::run(given));
}
