#include "Fleet/replica_pace.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <vector>

namespace camphorpoint {

namespace {

using microseconds_real = std::chrono::duration<double, std::micro>;

/// The load at which replicas are compared.
constexpr double reference_load = 0.5;
/// Loads closer than this differ by one or two requests.
constexpr double min_load_distance = 0.15;
/// A full batch takes at most e^2 times as long for a step as an empty one, and
/// no less; a steeper slope is chance.
constexpr double max_load_slope = 2;
/// Half of what counts in the mean load is older than this, which is half the
/// time of a short stream.
constexpr duration load_half_life = std::chrono::milliseconds(500);
/// Prompts closer in length than this differ by less time than requests wait
/// for a step.
constexpr double min_token_distance = 300;
/// Values outside are mistakes of measurement: no two machines that serve one
/// model differ by more.
constexpr double min_pace = 0.2;
constexpr double max_pace = 8;
constexpr duration min_token_time = std::chrono::microseconds(4);
constexpr duration max_token_time = std::chrono::milliseconds(1);

duration from_microseconds(double count) {
    return std::chrono::duration_cast<duration>(microseconds_real(count));
}

double to_microseconds(duration time) {
    return microseconds_real(time).count();
}

/// @returns the median of the known times; zero when none is known
template <class Projection>
duration
median_of(std::span<pace_measure const> all, Projection const& time_of) {
    std::vector<duration> known;
    for (pace_measure const& each : all) {
        if (std::invoke(time_of, each) > duration::zero()) {
            known.push_back(std::invoke(time_of, each));
        }
    }
    if (known.empty()) {
        return duration::zero();
    }
    std::ranges::sort(known);
    std::size_t const upper = known.size() / 2;
    std::size_t const lower = (known.size() - 1) / 2;
    return (known[lower] + known[upper]) / 2;
}

} // namespace

double replica_pace::mean_load(instant now) const {
    std::chrono::duration<double> const passed = now - load_since_;
    std::chrono::duration<double> const half = load_half_life;
    double const kept = std::exp2(-passed.count() / half.count());
    return load_ + (mean_load_ - load_) * kept;
}

void replica_pace::set_load(double load, instant now) {
    mean_load_ = load_since_ == instant{} ? load : mean_load(now);
    load_ = load;
    load_since_ = now;
}

void replica_pace::set_process(std::optional<incarnation> process) {
    if (process_ && process && process_ != process) {
        intervals_.clear();
        first_outputs_.clear();
        measure_ = {};
    }
    process_ = process ? process : process_;
}

void replica_pace::add(attempt_report const& report, instant now) {
    // A failure takes no work, or breaks off; it shows no speed.
    if (report.signal != health_signal::answered) {
        return;
    }
    if (report.event_interval > duration::zero()) {
        intervals_.add(
            mean_load(now), std::log(to_microseconds(report.event_interval)),
            now);
    }
    if (report.prompt_tokens > 0 && report.first_output > duration::zero()) {
        first_outputs_.add(
            report.prompt_tokens, to_microseconds(report.first_output), now);
    }
    measure_ = computed_measure(now);
}

pace_measure replica_pace::computed_measure(instant now) const {
    pace_measure result;
    double const by_load = std::clamp(
        intervals_.slope(min_load_distance, now).value_or(0), 0.0,
        max_load_slope);
    if (auto const at = intervals_.value_at(reference_load, by_load, now)) {
        result.event_interval = from_microseconds(std::exp(*at));
    }
    // A slope that noise has made negative counts as the shortest time: without
    // it the median of the service would be that of the longer ones.
    if (auto const by_tokens = first_outputs_.slope(min_token_distance, now)) {
        result.token_time = std::clamp(
            from_microseconds(*by_tokens), min_token_time, max_token_time);
    }
    return result;
}

bool replica_pace::empty(instant now) const {
    return intervals_.count(now) == 0 && first_outputs_.count(now) == 0;
}

double load_in_time(double load, double pace) {
    double const queue_pace = std::max(1.0, pace);
    return load < 1 ? 1 - std::pow(1 - load, pace)
                    : 1 + (load - 1) * queue_pace;
}

service_pace::service_pace(std::span<pace_measure const> of)
    : interval_(median_of(of, &pace_measure::event_interval))
    , token_time_(median_of(of, &pace_measure::token_time)) {}

// The delay by prompt tokens is a difference of two long times, and single
// replicas have too few requests for it. A slow machine takes longer for
// prompts and for events alike, so the service's median, times the pace, is the
// better estimate.
replica_speed service_pace::speed(pace_measure const& of) const {
    replica_speed result;
    if (of.event_interval > duration::zero() && interval_ > duration::zero()) {
        result.pace = std::clamp(
            to_microseconds(of.event_interval) / to_microseconds(interval_),
            min_pace, max_pace);
    }
    duration const usual = token_time_ > duration::zero()
                               ? token_time_
                               : replica_speed::default_token_time;
    result.token_time = from_microseconds(to_microseconds(usual) * result.pace);
    return result;
}

} // namespace camphorpoint
