#include "Fleet/recent_samples.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace camphorpoint {

namespace {

/// Half of them replace the median: at four answers a second a changed value
/// shows after three seconds.
constexpr std::size_t max_samples = 24;
/// The median of fewer samples follows a single outlier.
constexpr std::size_t min_samples = 3;
/// Fewer pairs tell more of chance than of a dependence.
constexpr std::size_t min_pairs = 24;
/// After this time without requests a machine may have changed, and only
/// requests can show it.
constexpr duration sample_lifetime = std::chrono::seconds(20);

double median(std::vector<double>& of) {
    auto const middle = of.begin() + static_cast<std::ptrdiff_t>(of.size() / 2);
    std::ranges::nth_element(of, middle);
    if (of.size() % 2 != 0) {
        return *middle;
    }
    return (*middle + *std::max_element(of.begin(), middle)) / 2;
}

} // namespace

void recent_samples::add(double x, double y, instant now) {
    samples_.push_back({x, y, now});
    if (samples_.size() > max_samples) {
        samples_.pop_front();
    }
}

std::deque<recent_samples::sample>::const_iterator
recent_samples::begin(instant now) const {
    return std::ranges::find_if(samples_, [&](sample const& each) {
        return now < each.at + sample_lifetime;
    });
}

std::size_t recent_samples::count(instant now) const {
    return static_cast<std::size_t>(samples_.end() - begin(now));
}

std::optional<double>
recent_samples::slope(double min_distance, instant now) const {
    std::vector<double> slopes;
    for (auto left = begin(now); left != samples_.end(); ++left) {
        for (auto right = left + 1; right != samples_.end(); ++right) {
            double const distance = right->x - left->x;
            if (std::abs(distance) >= min_distance) {
                slopes.push_back((right->y - left->y) / distance);
            }
        }
    }
    return slopes.size() < min_pairs ? std::nullopt
                                     : std::optional(median(slopes));
}

std::optional<double>
recent_samples::value_at(double x, double slope, instant now) const {
    std::vector<double> moved;
    for (auto each = begin(now); each != samples_.end(); ++each) {
        moved.push_back(each->y + slope * (x - each->x));
    }
    return moved.size() < min_samples ? std::nullopt
                                      : std::optional(median(moved));
}

} // namespace camphorpoint
