#pragma once

#include <cstdint>

namespace camphorpoint::bench {

/// What the program asked of operator new so far.
struct allocation_count {
    std::uint64_t allocations = 0;
    std::uint64_t bytes = 0;
};

/// @returns the counts; the bench runs one thread
allocation_count count_allocations() noexcept;

} // namespace camphorpoint::bench
