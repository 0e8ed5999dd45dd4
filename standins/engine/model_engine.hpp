#pragma once

#include "engine/adapter_slots.hpp"
#include "engine/cache_events.hpp"
#include "engine/engine_settings.hpp"
#include "engine/execution_records.hpp"
#include "engine/load_reports.hpp"
#include "engine/run_batch.hpp"

#include <cstdint>
#include <random>

namespace standins {

/// How an engine answers a request before it runs.
enum class submit_verdict : std::uint8_t { taken, not_loaded, busy, leaving };

/// A request's admission.
struct submit_result {
    submit_verdict verdict = submit_verdict::taken;
    run_batch::run_ptr run;
};

/// A model engine without its input and output: slots, batch, orders, faults.
class model_engine {
public:
    explicit model_engine(engine_settings const& settings);

    /// Takes a request, or says why not; a refused one does not run.
    submit_result submit(run_order order, camphorpoint::instant now);
    /// Begins a load; the caller of it tells load_ended later.
    order_verdict
    begin_load(camphorpoint::adapter_ref const& adapter, std::uint64_t fencing);
    /// Ends a load.
    /// @param fetched     what the weight store said
    /// @param incarnation the one in which the load began
    /// @returns true when the adapter is resident now
    bool load_ended(
        camphorpoint::adapter_ref const& adapter, bool fetched,
        std::uint64_t incarnation, camphorpoint::instant now);
    /// Evicts an adapter.
    order_verdict evict(
        camphorpoint::adapter_ref const& adapter, std::uint64_t fencing,
        camphorpoint::instant now);
    /// One step of the batch.
    void step(camphorpoint::instant now);
    /// Ends a run.
    void cancel(engine_run& run, camphorpoint::instant now);
    /// A cold start: runs and residents are gone, the incarnation grows.
    void restart(camphorpoint::instant now);
    /// Takes the snapshot that reports will show after their lag.
    void observe(camphorpoint::instant now);
    /// Refuses new requests from now on.
    void set_leaving(bool leaving) noexcept { leaving_ = leaving; }

    engine_settings const& settings() const noexcept { return settings_; }
    run_batch& batch() noexcept { return batch_; }
    load_reports& reports() noexcept { return reports_; }
    cache_events& prefix_events() noexcept { return prefix_events_; }
    execution_records const& records() const noexcept { return records_; }
    std::uint64_t incarnation() const noexcept { return incarnation_; }

private:
    engine_settings settings_;
    adapter_slots slots_;
    run_batch batch_;
    load_reports reports_;
    cache_events prefix_events_;
    execution_records records_;
    std::mt19937_64 random_;
    std::uint64_t incarnation_ = 1;
    bool leaving_ = false;
};

} // namespace standins
