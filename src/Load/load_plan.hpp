#pragma once

#include "Load/deployment.hpp"
#include "Load/planned_request.hpp"
#include "Load/zipf.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

namespace camphorpoint {

/// What a run is made from.
struct load_settings {
    deployment site;
    /// Requests a second, on average.
    double rate = 50;
    std::chrono::milliseconds length{60'000};
    std::size_t adapters = 3'000;
    /// Exponent of the adapters' popularity.
    double zipf_exponent = 1.3;
    std::uint64_t seed = 1;
    /// Shares of the callers that are slow, that break their stream, and that
    /// repeat a keyed request.
    double slow = 0.02;
    double breaking = 0.05;
    double repeating = 0.2;
};

/// Makes the requests of a run, one after the other. Arrivals are an open loop:
/// a slow system does not slow the load down.
class load_plan {
public:
    explicit load_plan(load_settings settings);
    /// @returns the next request, or nothing when the run's time is over
    std::optional<planned_request> next();

private:
    planned_request make(task_kind const& task, std::size_t place);
    bool happens(double share);
    std::uint32_t between(std::uint32_t least, std::uint32_t most);

    load_settings settings_;
    std::mt19937_64 random_;
    std::size_t engine_task_count_;
    zipf popularity_;
    std::chrono::microseconds now_{};
    std::uint64_t number_ = 0;
};

} // namespace camphorpoint
