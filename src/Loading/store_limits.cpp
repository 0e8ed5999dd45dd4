#include "Loading/store_limits.hpp"

#include <algorithm>

namespace camphorpoint {

store_limits fallback_limits(std::size_t nodes, store_limits const& whole) {
    store_limits share = whole;
    auto const sharing = static_cast<double>(std::max<std::size_t>(nodes, 1));
    share.loads_per_second = whole.loads_per_second / sharing;
    share.concurrency = 1;
    return share;
}

} // namespace camphorpoint
