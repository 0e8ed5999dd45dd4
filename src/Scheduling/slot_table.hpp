#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Records/engine_order.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphorpoint::internal {

/// What an adapter on the engine is going through.
enum class slot_phase : std::uint8_t {
    loading,
    resident,
    /// Gets no more grants, and is evicted once nothing runs on it.
    draining,
    evicting
};

/// An adapter that takes up a slot of the engine.
struct slot {
    slot_phase phase = slot_phase::loading;
    /// When it came into this phase.
    instant since{};
    /// When the last grant for it ended.
    instant idle_since{};
    /// Of the order that is under way; 0 when there is none.
    std::uint64_t command = 0;
    instant commanded_at{};
    /// The order can't travel past this time.
    instant command_not_after{};
    /// When the order's answer was given up.
    std::optional<instant> result_lost_at{};
    /// The weight store's permission of the load.
    std::uint64_t permission = 0;
    bool prefetch = false;
};

/// What a report settled about an adapter.
struct slot_change {
    enum class kind : std::uint8_t {
        /// It is resident: found so, or a lost load had taken effect.
        appeared,
        /// It is gone: the engine dropped it, or a lost eviction took effect.
        vanished,
        /// A lost load can't have taken effect any more.
        load_lost,
        /// A lost eviction can't have taken effect any more: it is resident.
        evict_lost
    } what = kind::appeared;
    adapter_ref adapter;
    /// As it was before.
    slot before;
};

/// The adapters on one engine: what was ordered, corrected by reports that lag.
class slot_table {
public:
    /// @returns the slot, or nullptr when the adapter takes up none
    slot* find(adapter_ref const& adapter);
    slot const* find(adapter_ref const& adapter) const;
    slot& insert(adapter_ref const& adapter, slot const& value);
    /// The adapter's slot is free now.
    void erase(adapter_ref const& adapter, instant now);
    void clear();
    std::size_t size() const noexcept { return slots_.size(); }
    std::map<adapter_ref, slot> const& all() const noexcept { return slots_; }
    /// @returns slots in this phase
    std::size_t count(slot_phase phase) const;

    /// Takes a report of the current incarnation.
    /// @param measured when the engine took the figures
    /// @returns what changed, in the order of the adapters
    std::vector<slot_change>
    on_report(engine_report const& report, instant measured, instant now);
    /// @returns true when a report measured at or after `since` says that no
    /// request uses the adapter
    bool reported_idle(adapter_ref const& adapter, instant since) const;
    /// @returns when the figures of the last report were taken
    std::optional<instant> measured() const noexcept { return measured_; }

private:
    void correct_known(
        std::set<adapter_ref> const& resident,
        std::set<adapter_ref> const& loading, std::vector<slot_change>& changes,
        instant now);
    std::optional<slot_change::kind>
    classify(slot const& each, bool resident, bool loading) const;
    void add_unknown(
        std::vector<adapter_ref> const& found, slot_phase phase,
        std::vector<slot_change>& changes, instant now);

    std::map<adapter_ref, slot> slots_;
    /// When slots were freed: an older report still names their adapters.
    std::map<adapter_ref, instant> freed_;
    std::set<adapter_ref> in_use_;
    std::optional<instant> measured_;
};

} // namespace camphorpoint::internal
