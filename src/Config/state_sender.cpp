#include "Config/state_sender.hpp"

#include "Config/state_assembler.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

bool state_sender::begin(
    node_id const& to, std::uint64_t number, configuration_state const& state) {
    std::erase_if(
        transfers_, [&](outgoing const& each) { return each.to == to; });
    if (transfers_.size() >= most_transfers) {
        return false;
    }
    std::vector<state_part> parts = split_state(state, config_message_bytes);
    outgoing next{to, number, {}};
    std::ranges::move(parts, std::back_inserter(next.parts));
    transfers_.push_back(std::move(next));
    return true;
}

std::vector<due_part> state_sender::take_due() {
    std::vector<due_part> due;
    for (outgoing& each : transfers_) {
        due.push_back({each.to, {each.number, std::move(each.parts.front())}});
        each.parts.pop_front();
    }
    std::erase_if(
        transfers_, [](outgoing const& each) { return each.parts.empty(); });
    return due;
}

} // namespace camphorpoint
