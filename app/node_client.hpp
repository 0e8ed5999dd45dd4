#pragma once

#include "Ports/http_client.hpp"

#include <string>

namespace camphorpoint {

/// Asks a node's operator interface, and waits for the answer.
class node_client {
public:
    /// @param address the node's operator_address
    explicit node_client(std::string const& address);

    /// @returns the answer to GET target, or how the call failed
    fetch_result get(std::string const& target) const;
    /// @returns the answer to POST target
    fetch_result post(std::string const& target, std::string body) const;
    /// @returns the address as it was given
    std::string const& address() const noexcept { return text_; }

private:
    fetch_result call(http_request request) const;

    std::string text_;
    ip_address address_;
};

/// Says on standard error why a node's answer is of no use.
void print_failure(
    std::string_view what, node_client const& node, fetch_result const& got);

} // namespace camphorpoint
