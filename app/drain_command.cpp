#include "app/command.hpp"
#include "app/flags.hpp"
#include "app/node_state.hpp"

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include <cstdio>
#include <thread>

namespace camphorpoint {

namespace {

constexpr std::chrono::milliseconds ask_period{100};

} // namespace

exit_code run_drain(command_words const&) {
    node_client const node(absl::GetFlag(FLAGS_node));
    fetch_result const got = node.post("/drain", "");
    if (got.how != call_result::answered || got.response.status >= 300) {
        print_failure("drain", node, got);
        return exit_code::failed;
    }
    fmt::print("{} takes no new work\n", node.address());
    auto const end = std::chrono::steady_clock::now() +
                     absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_wait));
    while (std::chrono::steady_clock::now() < end) {
        if (!read_state(node).reached) {
            fmt::print("{} has stopped\n", node.address());
            return exit_code::ok;
        }
        std::this_thread::sleep_for(ask_period);
    }
    fmt::print(stderr, "{} is still finishing its work\n", node.address());
    return exit_code::failed;
}

} // namespace camphorpoint
