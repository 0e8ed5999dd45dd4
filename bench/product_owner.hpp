#pragma once

#include "Loading/store_budget.hpp"
#include "Placement/placement.hpp"
#include "Scheduling/replica_scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace camphorpoint::bench {

/// A replica's owner in the bench.
struct bench_owner {
    std::uint32_t node = 0;
    /// Grows with each takeover; what was sent to a former owner is lost.
    std::uint64_t epoch = 0;
    std::unique_ptr<replica_scheduler<>> scheduler;
};

/// What an entry node knows of one request.
struct entry_request {
    enum class phase : std::uint8_t { idle, asked, granted };

    phase where = phase::idle;
    std::uint32_t attempt = 0;
    std::uint32_t engine = 0;
    std::uint64_t grant = 0;
    instant sent{};
    /// Replicas that refused it.
    std::vector<endpoint_id> excluded;
    bool counted = false;
};

/// An entry node in the bench.
struct entry_node {
    std::unique_ptr<placement<>> choice;
    /// Requests that are asked for or granted.
    std::set<std::size_t> active;
};

} // namespace camphorpoint::bench
