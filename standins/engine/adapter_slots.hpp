#pragma once

#include "Core/ids.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace standins {

/// How an engine answers an order at once.
enum class order_verdict : std::uint8_t {
    /// A load may begin, an eviction is done.
    accepted,
    /// The adapter is there already, or is already gone.
    nothing_to_do,
    no_slot,
    in_use,
    loading,
    old_fencing
};

/// The adapter slots of an engine and the fencing number it has seen.
class adapter_slots {
public:
    adapter_slots(std::uint32_t slots, bool checks_fencing)
        : slots_(slots)
        , checks_fencing_(checks_fencing) {}

    /// Takes a slot for an adapter, which is resident once load_ended is told.
    order_verdict
    begin_load(camphorpoint::adapter_ref const& adapter, std::uint64_t fencing);
    /// A load has ended; after a cold start it may be one of the time before,
    /// which changes nothing.
    void load_ended(camphorpoint::adapter_ref const& adapter, bool loaded);
    /// Frees the slot of an adapter.
    /// @param may_evict false when requests run on it and that counts
    order_verdict evict(
        camphorpoint::adapter_ref const& adapter, std::uint64_t fencing,
        bool may_evict);
    /// @returns true when requests can run on the adapter
    bool resident(camphorpoint::adapter_ref const& adapter) const;
    /// @returns the adapters that are resident, or those that are loading
    std::vector<camphorpoint::adapter_ref> list(bool loading) const;
    /// A cold start: all slots are empty. The fencing number is kept by a real
    /// engine in its platform's memory, and so it is here.
    void clear() { adapters_.clear(); }

private:
    bool too_old(std::uint64_t fencing);

    std::uint32_t slots_;
    bool checks_fencing_;
    std::uint64_t highest_fencing_ = 0;
    // True while loading.
    std::map<camphorpoint::adapter_ref, bool> adapters_;
};

} // namespace standins
