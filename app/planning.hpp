#pragma once

#include "Config/plan.hpp"
#include "app/command.hpp"
#include "app/node_client.hpp"

#include <optional>

namespace camphorpoint {

/// Reads declarations, asks the node what is in force, and compares. What is
/// wrong is printed.
/// @param what  the command, for messages
/// @param words files and folders of declarations
/// @param node  the node to ask
/// @param end   set when there is no plan
/// @returns the plan, or nothing
std::optional<plan> make_plan_with(
    std::string_view what, command_words const& words, node_client const& node,
    exit_code& end);

/// Prints a plan: the differences, and what stays undeclared.
void print_plan(plan const& wanted);

} // namespace camphorpoint
