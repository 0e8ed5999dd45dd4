#pragma once

#include "Config/change.hpp"
#include "Operator/publish_answer.hpp"
#include "app/exit_code.hpp"
#include "app/node_client.hpp"

#include <chrono>

namespace camphorpoint {

/// Publishes a change through a node and finds out what became of it. When the
/// node's answer is lost, the change is not published anew under another id:
/// that could put it in force twice. The node is asked for the verdict on the
/// id instead, until the time is over.
/// @param node  any node
/// @param value the change
/// @param limit how long to ask on after a lost answer
/// @returns what became of it; known is false when that could not be found out
publish_answer publish(
    node_client const& node, change const& value,
    std::chrono::milliseconds limit);

/// @returns the exit code that says the same
exit_code exit_code_of(publish_answer const& answer) noexcept;

} // namespace camphorpoint
