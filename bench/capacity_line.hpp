#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace camphorpoint::bench {

/// One measurement at one size.
struct reading {
    double size = 0;
    double value = 0;
};

/// The straight line through readings.
struct line_fit {
    double slope = 0;
    double intercept = 0;
    /// Share of the variance that the line explains; 1 when nothing varies.
    double r_squared = 1;
    /// Largest distance of a reading from the line.
    double largest_residual = 0;
};

/// Fits by least squares.
/// @param readings two sizes or more
line_fit fit_line(std::vector<reading> const& readings);

/// What a subject at one size cost.
struct capacity_cost {
    /// Time of the processor, not of the wall: the machine is shared.
    double nanoseconds = 0;
    double allocated_bytes = 0;
    /// Bytes of the heap that stay in use.
    double retained_bytes = 0;
};

/// Which of a cost's figures are printed.
enum class cost_figures : std::uint8_t { time, memory, both };

/// Measures at each size, three times over, and prints the lines.
void print_lines(
    std::string const& what, cost_figures wanted,
    std::vector<std::uint32_t> const& sizes,
    std::function<capacity_cost(std::uint32_t)> const& measure);

/// Counts what the program spends between its making and a reading.
class capacity_meter {
public:
    capacity_meter();
    /// @param count the figures are divided by it
    capacity_cost read(double count) const;

private:
    double nanoseconds_;
    double allocated_;
    double retained_;
};

} // namespace camphorpoint::bench
