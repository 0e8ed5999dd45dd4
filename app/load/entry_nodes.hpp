#pragma once

#include "Settings/node_settings.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorpoint {

/// The addresses that requests go to, as a balancer would spread them.
class entry_nodes {
public:
    /// @param addresses caller interfaces; at least one
    explicit entry_nodes(std::vector<std::string> const& addresses);

    /// @param choice any number; the next one up names another node
    ip_address const& at(std::uint64_t choice) const noexcept {
        return addresses_[choice % addresses_.size()];
    }
    std::size_t size() const noexcept { return addresses_.size(); }
    /// @returns true when each text was an address
    bool valid() const noexcept;

private:
    std::vector<ip_address> addresses_;
};

} // namespace camphorpoint
