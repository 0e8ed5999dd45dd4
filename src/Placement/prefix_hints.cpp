#include "Placement/prefix_hints.hpp"

namespace camphorpoint::internal {

void prefix_hints::stored(
    std::uint64_t prefix, endpoint_id const& where, instant when) {
    auto const known = hints_.find(prefix);
    if (known != hints_.end()) {
        if (when >= known->second.when) {
            known->second = {where, when};
        }
        return;
    }
    hints_.emplace(prefix, hint{where, when});
    order_.push_back(prefix);
    while (order_.size() > most_) {
        hints_.erase(order_.front());
        order_.pop_front();
    }
}

void prefix_hints::dropped(
    std::uint64_t prefix, endpoint_id const& where, instant when) {
    auto const known = hints_.find(prefix);
    bool const applies = known != hints_.end() &&
                         known->second.where == where &&
                         when >= known->second.when;
    if (applies) {
        // The entry stays, out of date, until its turn in the order comes.
        known->second = {endpoint_id(), when};
    }
}

endpoint_id const* prefix_hints::find(std::uint64_t prefix, instant now) const {
    auto const known = hints_.find(prefix);
    bool const fresh = known != hints_.end() && !known->second.where.empty() &&
                       now - known->second.when < memory_;
    return fresh ? &known->second.where : nullptr;
}

} // namespace camphorpoint::internal
