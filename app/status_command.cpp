#include "app/command.hpp"
#include "app/node_state.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace camphorpoint {

namespace {

void print_row(node_state const& state) {
    if (!state.reached) {
        fmt::print("{:<22} does not answer\n", state.address);
        return;
    }
    std::string ready = state.ready ? "ready" : "not ready";
    if (!state.not_ready.empty()) {
        ready += fmt::format(" ({})", fmt::join(state.not_ready, ", "));
    }
    fmt::print(
        "{:<22} {:<12} configuration {:>8}  digest {:<16} {}\n", state.address,
        state.draining ? "draining" : "running", state.configuration.value,
        state.digest, ready);
}

/// Says whether one configuration is in force on all nodes.
exit_code print_agreement(std::vector<node_state> const& states) {
    auto const same = [&](node_state const& each) {
        return each.configuration == states.front().configuration &&
               each.digest == states.front().digest;
    };
    if (!std::ranges::all_of(states, &node_state::reached)) {
        return exit_code::failed;
    }
    bool const agree = std::ranges::all_of(states, same);
    if (states.size() > 1) {
        fmt::print(
            "{}\n", agree ? "one configuration is in force on all of them"
                          : "the nodes do not have the same configuration");
    }
    return agree ? exit_code::ok : exit_code::failed;
}

} // namespace

exit_code run_status(command_words const&) {
    std::vector<node_state> states;
    for (std::string const& address : chosen_nodes()) {
        states.push_back(read_state(node_client(address)));
    }
    for (node_state const& each : states) {
        print_row(each);
    }
    if (states.size() == 1 && states.front().reached) {
        fmt::print("{}\n", states.front().text);
    }
    return print_agreement(states);
}

} // namespace camphorpoint
