#pragma once

#include "Gateway/gateway_state.hpp"
#include "Ports/connection_end.hpp"

#include <string>
#include <utility>
#include <vector>

namespace camphorpoint {

/// Writes the ends of one server's connections to the decision log, and counts
/// them. Guards against complaints of callers that can't be traced, since their
/// connection ended before their request reached a handler.
class connection_end_log {
public:
    /// @param state  the node's state; must outlive this
    /// @param server name of the server in the log
    connection_end_log(gateway_state& state, std::string server)
        : state_(&state)
        , server_(std::move(server)) {}

    /// Takes an end.
    void add(connection_end_report const& end);
    /// Writes the sums of a second that has passed.
    void poll() { write(summary_.take(boot_clock::now())); }
    /// Writes all sums.
    void finish() { write(summary_.take_all()); }

private:
    void write(std::vector<connection_end_sum> const& sums);

    gateway_state* state_;
    std::string server_;
    connection_end_summary summary_;
};

} // namespace camphorpoint
