#include "Delivery/crash_baseline.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace camphorpoint {

namespace {

/// Two crashes are often coincidence, whatever the baseline.
constexpr double min_crashes = 3;
/// Probability at which a sound part is taken for a poison one.
constexpr double error_probability = 0.004;
/// A poison part that has crashed this many replicas is allowed hardly any
/// retry more, so that to wait for more evidence costs more than a wrong
/// quarantine, which a trial lifts.
constexpr double budgeted_crashes = 5;
/// Probability of such a mistake from then on.
constexpr double late_error_probability = 0.05;
/// Fewer attempts give too rough an estimate for that.
constexpr std::size_t min_attempts = 6;
/// Crashes at which a part must have been present to explain all of them.
constexpr std::size_t min_explained = 3;
/// Latest attempts that are remembered.
constexpr std::size_t max_attempts = 128;

/// @returns how many attempts in succession are all broken off with at most
///          the probability error, each with the given one
double succession(double error, double probability) {
    return std::ceil(std::log(error) / std::log(probability));
}

} // namespace

void crash_baseline::record(
    std::vector<request_fingerprint> const& parts,
    std::optional<std::uint64_t> crashed, instant now) {
    attempts_.push_back({parts, crashed, now});
    if (attempts_.size() > max_attempts) {
        attempts_.pop_front();
    }
}

std::size_t crash_baseline::crashes_to_confirm(
    request_fingerprint part, std::vector<std::uint64_t> const& replicas,
    instant since) const {
    // Where the part was present at all of several crashes, they are no
    // baseline for it.
    std::set<std::uint64_t> seen;
    bool explains_all = true;
    for (attempt const& each : attempts_) {
        if (each.at >= since && each.crashed) {
            seen.insert(*each.crashed);
            explains_all =
                explains_all &&
                std::ranges::find(replicas, *each.crashed) != replicas.end();
        }
    }
    explains_all = explains_all && seen.size() >= min_explained;
    std::size_t total = 0;
    std::size_t crashed = 0;
    for (attempt const& each : attempts_) {
        bool const counts =
            each.at >= since && !(each.crashed && explains_all) &&
            std::ranges::find(each.parts, part) == each.parts.end();
        total += counts ? 1 : 0;
        crashed += counts && each.crashed ? 1 : 0;
    }
    // Laplace's rule of succession. While every attempt is broken off, the
    // result grows with their number.
    double const probability =
        static_cast<double>(crashed + 1) / static_cast<double>(total + 2);
    double needed =
        std::max(min_crashes, succession(error_probability, probability));
    if (total >= min_attempts) {
        double const late = succession(late_error_probability, probability);
        needed = std::min(needed, std::max(budgeted_crashes, late));
    }
    return static_cast<std::size_t>(needed);
}

bool crash_baseline::crashed_since(instant time) const {
    return std::ranges::any_of(attempts_, [time](attempt const& each) {
        return each.at > time && each.crashed;
    });
}

} // namespace camphorpoint
