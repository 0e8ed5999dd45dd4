#include "Placement/prefix_hints.hpp"

namespace camphorpoint::internal {

void prefix_hints::on_stored(
    std::uint64_t prefix, endpoint_id const& endpoint, instant when) {
    auto const known = hints_.find(prefix);
    if (known != hints_.end()) {
        if (when >= known->second.when) {
            known->second = {endpoint, when};
        }
        return;
    }
    hints_.emplace(prefix, hint{endpoint, when});
    insertion_order_.push_back(prefix);
    while (insertion_order_.size() > max_hints_) {
        hints_.erase(insertion_order_.front());
        insertion_order_.pop_front();
    }
}

void prefix_hints::on_dropped(
    std::uint64_t prefix, endpoint_id const& endpoint, instant when) {
    auto const known = hints_.find(prefix);
    bool const applies = known != hints_.end() &&
                         known->second.endpoint == endpoint &&
                         when >= known->second.when;
    if (applies) {
        // The entry stays without an endpoint until it is the oldest one:
        // `insertion_order_` still contains its prefix.
        known->second = {endpoint_id(), when};
    }
}

endpoint_id const* prefix_hints::find(std::uint64_t prefix, instant now) const {
    auto const known = hints_.find(prefix);
    bool const fresh = known != hints_.end() &&
                       !known->second.endpoint.empty() &&
                       now - known->second.when < lifetime_;
    return fresh ? &known->second.endpoint : nullptr;
}

} // namespace camphorpoint::internal
