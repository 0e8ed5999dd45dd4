#include "capacity_line.hpp"

#include "allocation_counter.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <malloc.h>

namespace camphorpoint::bench {

namespace {

constexpr int repeats = 3;

double processor_nanoseconds() {
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    constexpr double per_second = 1e9;
    return static_cast<double>(spent.tv_sec) * per_second +
           static_cast<double>(spent.tv_nsec);
}

double heap_in_use() {
    struct mallinfo2 const now = mallinfo2();
    return static_cast<double>(now.uordblks + now.hblkhd);
}

using figure = double capacity_cost::*;

void print_figure(
    std::string const& what, char const* unit, figure which,
    std::vector<std::uint32_t> const& sizes,
    std::vector<std::vector<capacity_cost>> const& runs) {
    std::vector<line_fit> fits;
    for (auto const& run : runs) {
        std::vector<reading> readings;
        readings.reserve(sizes.size());
        for (std::size_t at = 0; at < sizes.size(); ++at) {
            readings.push_back(
                {static_cast<double>(sizes[at]), run[at].*which});
        }
        fits.push_back(fit_line(readings));
    }
    std::ranges::sort(fits, {}, &line_fit::slope);
    line_fit const& middle = fits[fits.size() / 2];
    fmt::print(
        "{:<28}{:<10}{:>11.4g} [{:.4g}, {:.4g}] +{:>10.4g}  R2 {:.3f}  "
        "residual {:.3g}  |",
        what, unit, middle.slope, fits.front().slope, fits.back().slope,
        middle.intercept, middle.r_squared, middle.largest_residual);
    for (std::size_t at = 0; at < sizes.size(); ++at) {
        std::vector<double> values;
        values.reserve(runs.size());
        for (auto const& run : runs) {
            values.push_back(run[at].*which);
        }
        std::ranges::sort(values);
        fmt::print(" {}:{:.4g}", sizes[at], values[values.size() / 2]);
    }
    fmt::print("\n");
    std::fflush(stdout);
}

} // namespace

line_fit fit_line(std::vector<reading> const& readings) {
    auto const count = static_cast<double>(readings.size());
    double mean_size = 0;
    double mean_value = 0;
    for (reading const& each : readings) {
        mean_size += each.size / count;
        mean_value += each.value / count;
    }
    double sizes = 0;
    double both = 0;
    double values = 0;
    for (reading const& each : readings) {
        sizes += (each.size - mean_size) * (each.size - mean_size);
        both += (each.size - mean_size) * (each.value - mean_value);
        values += (each.value - mean_value) * (each.value - mean_value);
    }
    line_fit result;
    result.slope = both / sizes;
    result.intercept = mean_value - result.slope * mean_size;
    double missed = 0;
    for (reading const& each : readings) {
        double const away =
            each.value - result.intercept - result.slope * each.size;
        missed += away * away;
        result.largest_residual =
            std::max(result.largest_residual, std::abs(away));
    }
    result.r_squared = values > 0 ? 1 - missed / values : 1;
    return result;
}

void print_lines(
    std::string const& what, cost_figures wanted,
    std::vector<std::uint32_t> const& sizes,
    std::function<capacity_cost(std::uint32_t)> const& measure) {
    std::vector<std::vector<capacity_cost>> runs(repeats);
    for (auto& run : runs) {
        for (std::uint32_t const size : sizes) {
            run.push_back(measure(size));
        }
    }
    if (wanted != cost_figures::memory) {
        print_figure(what, "ns", &capacity_cost::nanoseconds, sizes, runs);
        print_figure(
            what, "allocated", &capacity_cost::allocated_bytes, sizes, runs);
    }
    if (wanted != cost_figures::time) {
        print_figure(
            what, "retained", &capacity_cost::retained_bytes, sizes, runs);
    }
}

capacity_meter::capacity_meter()
    : nanoseconds_(processor_nanoseconds())
    , allocated_(static_cast<double>(count_allocations().bytes))
    , retained_(heap_in_use()) {}

capacity_cost capacity_meter::read(double count) const {
    return {
        (processor_nanoseconds() - nanoseconds_) / count,
        (static_cast<double>(count_allocations().bytes) - allocated_) / count,
        (heap_in_use() - retained_) / count};
}

} // namespace camphorpoint::bench
