#pragma once

#include "engine/engine_run.hpp"
#include "engine/engine_settings.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace standins {

/// The continuous batch of an engine: sequences join and leave it at each
/// step, the most urgent first. Source: iteration-level scheduling, Yu et al.,
/// "Orca", OSDI 2022.
class run_batch {
public:
    using run_ptr = std::shared_ptr<engine_run>;

    explicit run_batch(engine_settings const& settings)
        : settings_(settings) {}

    /// Takes a request into the waiting queue.
    /// @returns the run, or null when the queue is full
    run_ptr submit(run_order order, camphorpoint::instant now);
    /// Fills the batch from the queue.
    void admit(camphorpoint::instant now);
    /// Makes one token for each sequence of the batch, lets the finished ones
    /// leave it, and gives up runs that nobody reads.
    void step(camphorpoint::instant now);
    /// Ends a run before its last token.
    void cancel(engine_run& run, camphorpoint::instant now);
    /// Ends every run on an adapter, as when it is evicted under them.
    void cancel_all(
        camphorpoint::adapter_ref const& adapter, camphorpoint::instant now);
    /// @returns the newest run of the request, or null
    run_ptr find(std::string const& request) const;
    /// Forgets streams that are kept no longer.
    void forget_old(camphorpoint::instant now);
    /// @returns the runs that are waiting or running on the adapter
    std::vector<run_ptr>
    using_adapter(camphorpoint::adapter_ref const& adapter) const;
    /// @returns all runs that are waiting or running
    std::vector<run_ptr> active() const;

    std::size_t running() const noexcept { return running_.size(); }
    std::size_t waiting() const noexcept { return waiting_.size(); }
    /// @returns how long the next step takes
    std::chrono::microseconds step_time() const noexcept;

private:
    void give_up_unread(camphorpoint::instant now);

    engine_settings settings_;
    std::vector<run_ptr> waiting_;
    std::vector<run_ptr> running_;
    std::map<std::string, run_ptr, std::less<>> streams_;
};

} // namespace standins
