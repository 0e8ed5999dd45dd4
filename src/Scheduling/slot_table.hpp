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

/// Phase of an adapter that occupies a slot of the engine.
enum class slot_phase : std::uint8_t {
    loading,
    resident,
    /// Receives no more grants, and is evicted once no request runs on it.
    draining,
    evicting
};

/// An adapter that occupies a slot of the engine.
struct slot {
    slot_phase phase = slot_phase::loading;
    /// Start of the current phase.
    instant since{};
    /// Time at which the last grant for the adapter ended.
    instant idle_since{};
    /// Number of the command in progress; 0 if there is none.
    std::uint64_t command = 0;
    instant commanded_at{};
    /// The command cannot reach the engine after this time.
    instant command_not_after{};
    /// Time at which the command's result was declared lost.
    std::optional<instant> result_lost_at{};
    /// Number of the permission that the weight store's owner gave for the
    /// load.
    std::uint64_t permission = 0;
    bool prefetch = false;
};

/// A change of an adapter that was derived from a report.
struct slot_change {
    enum class kind : std::uint8_t {
        /// The adapter is resident: it was found so, or a load whose result was
        /// lost has succeeded.
        appeared,
        /// The adapter is gone: the engine has dropped it, or an eviction whose
        /// result was lost has succeeded.
        vanished,
        /// A load whose result was lost has not taken effect and no longer can.
        load_lost,
        /// An eviction whose result was lost has not taken effect and no longer
        /// can: the adapter is resident.
        evict_lost
    } what = kind::appeared;
    adapter_ref adapter;
    /// State of the slot before the change.
    slot before;
};

/// The adapters that occupy slots of one engine, as expected from the commands
/// that were sent and corrected by the engine's lagging reports.
class slot_table {
public:
    /// @returns the slot, or nullptr if the adapter occupies none
    slot* find(adapter_ref const& adapter);
    slot const* find(adapter_ref const& adapter) const;
    slot& insert(adapter_ref const& adapter, slot const& value);
    /// Removes the adapter, whose slot becomes free.
    void erase(adapter_ref const& adapter, instant now);
    void clear();
    std::size_t size() const noexcept { return slots_.size(); }
    std::map<adapter_ref, slot> const& all() const noexcept { return slots_; }
    /// @returns the number of slots in this phase
    std::size_t count(slot_phase phase) const;

    /// Applies a report of the current incarnation of the engine.
    /// @param measured when the engine measured the values
    /// @returns the changes: first those of known adapters, sorted by adapter,
    ///   then the newly found adapters in the order of the report
    std::vector<slot_change>
    on_report(engine_report const& report, instant measured, instant now);
    /// @returns true if a report that was measured at or after `since` shows
    ///   that no request uses the adapter
    bool reported_idle(adapter_ref const& adapter, instant since) const;
    /// @returns when the values of the last report were measured
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
    /// Times at which slots were freed. Reports that were measured earlier
    /// still list their adapters.
    std::map<adapter_ref, instant> freed_;
    std::set<adapter_ref> in_use_;
    std::optional<instant> measured_;
};

} // namespace camphorpoint::internal
