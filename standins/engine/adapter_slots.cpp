#include "engine/adapter_slots.hpp"

#include <algorithm>

namespace standins {

bool adapter_slots::too_old(std::uint64_t fencing) {
    if (checks_fencing_ && fencing < highest_fencing_) {
        return true;
    }
    highest_fencing_ = std::max(highest_fencing_, fencing);
    return false;
}

order_verdict adapter_slots::begin_load(
    camphorpoint::adapter_ref const& adapter, std::uint64_t fencing) {
    if (too_old(fencing)) {
        return order_verdict::old_fencing;
    }
    auto const found = adapters_.find(adapter);
    if (found != adapters_.end()) {
        return found->second ? order_verdict::loading
                             : order_verdict::nothing_to_do;
    }
    if (adapters_.size() >= slots_) {
        return order_verdict::no_slot;
    }
    adapters_.emplace(adapter, true);
    return order_verdict::accepted;
}

void adapter_slots::load_ended(
    camphorpoint::adapter_ref const& adapter, bool loaded) {
    auto const found = adapters_.find(adapter);
    if (found == adapters_.end()) {
        return;
    }
    if (loaded) {
        found->second = false;
    } else {
        adapters_.erase(found);
    }
}

order_verdict adapter_slots::evict(
    camphorpoint::adapter_ref const& adapter, std::uint64_t fencing,
    bool may_evict) {
    if (too_old(fencing)) {
        return order_verdict::old_fencing;
    }
    auto const found = adapters_.find(adapter);
    if (found == adapters_.end()) {
        return order_verdict::nothing_to_do;
    }
    if (found->second) {
        return order_verdict::loading;
    }
    if (!may_evict) {
        return order_verdict::in_use;
    }
    adapters_.erase(found);
    return order_verdict::accepted;
}

bool adapter_slots::resident(camphorpoint::adapter_ref const& adapter) const {
    auto const found = adapters_.find(adapter);
    return found != adapters_.end() && !found->second;
}

std::vector<camphorpoint::adapter_ref> adapter_slots::list(bool loading) const {
    std::vector<camphorpoint::adapter_ref> result;
    for (auto const& [adapter, is_loading] : adapters_) {
        if (is_loading == loading) {
            result.push_back(adapter);
        }
    }
    return result;
}

} // namespace standins
