#pragma once

#include "bound.hpp"
#include "figures.hpp"

#include <string>
#include <vector>

namespace camphorpoint::bench {

/// One policy's runs, one for each seed, with the same figures.
struct policy_runs {
    std::string policy;
    std::vector<run_result> runs;
};

/// Prints a line for each figure and a column for each policy: the mean over
/// the seeds and, with several, half of the distance from least to most.
void print_table(std::vector<policy_runs> const& all);
/// Prints the bounds of each seed's trace.
void print_bounds(std::vector<bounds> const& all);
/// Writes all runs with their figures.
/// @returns false when the file can't be written
bool write_json(std::string const& path, std::vector<policy_runs> const& all);
/// Draws stalls and batch fullness over time, a line for each policy, through
/// gnuplot. Writes STEM.stalls.svg and STEM.batch.svg.
/// @returns false when gnuplot is missing or fails
bool write_plots(std::string const& stem, std::vector<policy_runs> const& all);

} // namespace camphorpoint::bench
