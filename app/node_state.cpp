#include "app/node_state.hpp"

#include "Operator/json_reading.hpp"
#include "app/flags.hpp"

#include <absl/flags/flag.h>

#include <thread>
#include <utility>

namespace camphorpoint {

namespace {

constexpr std::chrono::milliseconds ask_period{5};

} // namespace

node_state read_state(node_client const& node) {
    node_state result;
    result.address = node.address();
    fetch_result got = node.get("/status");
    json_reading const body(got.response.body);
    if (got.how != call_result::answered || !body.valid()) {
        return result;
    }
    result.reached = true;
    result.ready = body.flag("ready");
    result.draining = body.flag("draining");
    json_reading const configuration = body.object("configuration");
    result.configuration = log_offset{configuration.number("offset")};
    result.digest = configuration.text("digest");
    result.not_ready = body.texts("not_ready");
    result.text = std::move(got.response.body);
    return result;
}

std::vector<std::string> chosen_nodes() {
    std::vector<std::string> nodes = absl::GetFlag(FLAGS_nodes);
    if (nodes.empty()) {
        nodes.push_back(absl::GetFlag(FLAGS_node));
    }
    return nodes;
}

std::vector<std::string> wait_in_force(
    std::vector<std::string> const& nodes, log_offset offset,
    std::chrono::milliseconds limit) {
    auto const end = std::chrono::steady_clock::now() + limit;
    std::vector<std::string> missing = nodes;
    for (;;) {
        std::erase_if(missing, [&](std::string const& address) {
            node_state const state = read_state(node_client(address));
            return state.reached && state.configuration > offset;
        });
        if (missing.empty() || std::chrono::steady_clock::now() >= end) {
            return missing;
        }
        std::this_thread::sleep_for(ask_period);
    }
}

} // namespace camphorpoint
