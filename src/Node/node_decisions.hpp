#pragma once

#include "Core/time.hpp"
#include "Serving/node_action.hpp"
#include "Serving/node_event.hpp"
#include "Serving/node_status.hpp"

#include <concepts>
#include <functional>
#include <vector>

namespace camphorpoint {

/// What the node asks of its decisions: an event and the time go in, actions
/// come out.
template <class Core>
concept decision_core = requires(
    Core& core, Core const& view, node_event const& event, instant now,
    wall_time wall, std::vector<node_action>& out) {
    core.handle(event, now, wall, out);
    { view.status(now) } -> std::convertible_to<node_status>;
};

/// A decision core behind two functions, so that the translation units with
/// Asio in them compile once for every core.
struct node_decisions {
    std::function<void(
        node_event const& event, instant now, wall_time wall,
        std::vector<node_action>& out)>
        handle;
    std::function<node_status(instant now)> status;
};

/// @param core must outlive the result
template <decision_core Core>
node_decisions make_decisions(Core& core) {
    node_decisions result;
    result.handle = [&core](
                        node_event const& event, instant now, wall_time wall,
                        std::vector<node_action>& out) {
        core.handle(event, now, wall, out);
    };
    result.status = [&core](instant now) {
        return node_status(std::as_const(core).status(now));
    };
    return result;
}

} // namespace camphorpoint
