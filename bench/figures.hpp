#pragma once

#include "world.hpp"

#include <string>
#include <vector>

namespace camphorpoint::bench {

/// One measured value.
struct figure {
    std::string name;
    std::string unit;
    double value = 0;
};

/// One second of virtual time after the warm-up.
struct second_sample {
    double mean_stall_ms = 0;
    double batch_fullness = 0;
    double arrivals = 0;
};

/// What a run measured.
struct run_result {
    std::string preset;
    std::string policy;
    std::string fault;
    std::uint64_t seed = 0;
    std::vector<figure> figures;
    std::vector<second_sample> series;
};

/// @param cluster a world whose run has ended
/// @returns figures and series over the measured time
run_result measure(world const& cluster);

/// @returns the value of the figure, 0 when it isn't there
double value_of(run_result const& result, std::string_view name);

} // namespace camphorpoint::bench
