#pragma once

#include "Core/decayed_rate.hpp"
#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Scheduling/owner_table.hpp"
#include "Scheduling/scheduler_settings.hpp"

#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace camphorpoint::internal {

/// What one replica remembers of an adapter, resident or not.
struct adapter_record {
    decayed_rate request_rate{std::chrono::seconds(60)};
    instant last_request;
    instant previous_request;
    /// Loads that failed in a row.
    std::uint32_t failures = 0;
    /// No load is wanted before this time.
    instant retry_at;
};

/// Demand and load failures by adapter, for the adapters asked for of late.
class adapter_history {
public:
    explicit adapter_history(scheduler_settings const& settings);

    void record_request(adapter_ref const& adapter, instant now);
    /// Takes a rate as measured elsewhere, when it is the higher one.
    void record_rate(adapter_ref const& adapter, double rate, instant now);
    /// Counts a failed load and pauses the adapter, longer with each failure.
    /// @returns failures in a row
    std::uint32_t record_failure(adapter_ref const& adapter, instant now);
    void record_loaded(adapter_ref const& adapter);
    /// Pauses the adapter without counting a failure.
    void delay_load(adapter_ref const& adapter, instant until);

    /// @returns the record, or an empty one
    adapter_record const& record_of(adapter_ref const& adapter) const;
    double rate(adapter_ref const& adapter, instant now) const;
    /// @returns true when a load may be wanted
    bool may_load(adapter_ref const& adapter, instant now) const;
    /// @returns true when loads failed so often that waiting is refused
    bool load_abandoned(adapter_ref const& adapter, instant now) const;
    /// @returns rates above a hundredth of a request per second, by adapter
    std::vector<handover_demand> demand(instant now) const;
    /// Forgets adapters that were not asked for in a long time.
    void prune(instant now);

private:
    scheduler_settings settings_;
    std::mt19937_64 random_;
    std::unordered_map<adapter_ref, adapter_record> records_;
    adapter_record empty_;
};

} // namespace camphorpoint::internal
