#include "Loading/store_limits.hpp"

#include <algorithm>

namespace camphorpoint {

store_limits fallback_limits(std::size_t nodes, store_limits const& total) {
    store_limits per_node = total;
    auto const node_count =
        static_cast<double>(std::max<std::size_t>(nodes, 1));
    per_node.loads_per_second = total.loads_per_second / node_count;
    per_node.concurrency = 1;
    return per_node;
}

} // namespace camphorpoint
