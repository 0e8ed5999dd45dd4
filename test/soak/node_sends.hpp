#pragma once

#include "Core/time.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace camphorpoint::soak {

struct run_records;

/// When a request was sent to a replica, by the ids of both.
using node_sends =
    std::map<std::pair<std::string, std::string>, std::vector<instant>>;

/// Adds the sends that a node has logged.
/// @param log a file with the node's log
void read_sends(std::string const& log, node_sends& sends);

/// Sets when each run was sent to its replica, which may have begun it later.
/// Runs whose send is not known keep the time at which they began.
void apply_sends(node_sends const& sends, run_records& records);

} // namespace camphorpoint::soak
