#include "app/load/entry_nodes.hpp"

#include <algorithm>

namespace camphorpoint {

entry_nodes::entry_nodes(std::vector<std::string> const& addresses) {
    for (std::string const& each : addresses) {
        addresses_.push_back(parse_address(each));
    }
}

bool entry_nodes::valid() const noexcept {
    auto const has_port = [](ip_address const& each) {
        return each.port != 0;
    };
    return !addresses_.empty() && std::ranges::all_of(addresses_, has_port);
}

} // namespace camphorpoint
