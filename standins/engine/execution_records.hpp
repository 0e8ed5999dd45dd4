#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "engine/engine_run.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace standins {

/// What an engine really did, for the proofs. It outlives cold starts.
class execution_records {
public:
    /// A run was taken in.
    void add(std::shared_ptr<engine_run const> run);
    /// An adapter was evicted while runs were on it.
    void add_violation(
        camphorpoint::adapter_ref const& adapter, std::uint32_t runs,
        camphorpoint::instant now);
    void count_load() noexcept { ++loads_; }
    void count_failed_load() noexcept { ++failed_loads_; }
    void count_eviction() noexcept { ++evictions_; }
    void count_refusal() noexcept { ++refusals_; }
    /// A step was made with so many sequences.
    void count_step(std::size_t sequences) noexcept;
    /// @returns all of it, as JSON
    std::string describe() const;

private:
    struct violation {
        camphorpoint::adapter_ref adapter;
        std::uint32_t runs = 0;
        camphorpoint::instant at;
    };

    std::vector<std::shared_ptr<engine_run const>> runs_;
    std::vector<violation> violations_;
    std::uint64_t loads_ = 0;
    std::uint64_t failed_loads_ = 0;
    std::uint64_t evictions_ = 0;
    std::uint64_t refusals_ = 0;
    std::uint64_t steps_ = 0;
    std::uint64_t sequences_ = 0;
};

} // namespace standins
