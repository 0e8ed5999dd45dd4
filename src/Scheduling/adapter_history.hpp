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

/// What a replica's owner has recorded about one adapter, whether the adapter
/// is resident or not.
struct adapter_record {
    decayed_rate request_rate{std::chrono::seconds(60)};
    instant last_request;
    instant previous_request;
    /// Consecutive failed loads.
    std::uint32_t failures = 0;
    /// No load is requested before this time.
    instant retry_at;
};

/// Demand and load failures of each recently requested adapter.
class adapter_history {
public:
    explicit adapter_history(scheduler_settings const& settings);

    void record_request(adapter_ref const& adapter, instant now);
    /// Raises the recorded rate to a rate that another owner or another version
    /// of the adapter has measured; a lower rate is ignored.
    /// @param rate requests per second
    void record_rate(adapter_ref const& adapter, double rate, instant now);
    /// Counts a failed load and starts a backoff that grows with each
    /// consecutive failure.
    /// @returns the number of consecutive failures
    std::uint32_t record_failure(adapter_ref const& adapter, instant now);
    void record_loaded(adapter_ref const& adapter);
    /// Delays further loads of the adapter without counting a failure.
    /// @param until earliest time of the next load request
    void delay_load(adapter_ref const& adapter, instant until);

    /// @returns the record of the adapter, or an empty record if there is none
    adapter_record const& record_of(adapter_ref const& adapter) const;
    double rate(adapter_ref const& adapter, instant now) const;
    /// @returns true if no backoff of the adapter's loads is in progress
    bool may_load(adapter_ref const& adapter, instant now) const;
    /// @returns true if loads failed so often that requests for the adapter are
    ///   refused instead of queued
    bool load_abandoned(adapter_ref const& adapter, instant now) const;
    /// @returns the adapters that are requested more than 0.01 times per
    ///   second, with their rates in requests per second, sorted by adapter
    std::vector<handover_demand> demand(instant now) const;
    /// Removes adapters that were not requested for a long time.
    void prune(instant now);

private:
    scheduler_settings settings_;
    std::mt19937_64 random_;
    std::unordered_map<adapter_ref, adapter_record> records_;
    adapter_record empty_;
};

} // namespace camphorpoint::internal
