#include "bound.hpp"

#include "adapter_key.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace camphorpoint::bench {

namespace {

/// A request with its adapter's version.
struct versioned_arrival {
    instant when;
    adapter_key key;
    std::uint32_t rank = 0;
};

std::vector<versioned_arrival>
with_versions(preset const& workload, trace const& input) {
    std::vector<std::uint32_t> versions(workload.adapters, 1);
    std::vector<versioned_arrival> result;
    auto change = input.changes.begin();
    for (trace_request const& each : input.requests) {
        for (; change != input.changes.end() && change->when <= each.arrival;
             ++change) {
            ++versions[change->adapter];
        }
        result.push_back(
            {each.arrival, {each.adapter, versions[each.adapter]}, each.rank});
    }
    return result;
}

/// How many adapters must be unserved at times after a window's start: those
/// asked for since, less those that the slots can have held at the start, less
/// those that the store can have delivered since.
class window_bound {
public:
    window_bound(preset const& workload, double step_seconds)
        : slots_(double(workload.engines) * workload.engine.adapter_slots)
        , rate_(workload.store.loads_per_second)
        , in_flight_(workload.store.full_speed_loads)
        , step_(step_seconds) {}

    /// @param from    index of the first arrival in the window
    /// @param waiting per step of time, raised where this window says more
    void raise(
        std::vector<versioned_arrival> const& arrivals, std::size_t from,
        std::vector<double>& waiting) const {
        std::set<adapter_key> distinct;
        instant const start = arrivals[from].when;
        for (std::size_t at = from; at < arrivals.size(); ++at) {
            distinct.insert(arrivals[at].key);
            std::chrono::duration<double> const length =
                arrivals[at].when - start;
            double const delivered = rate_ * length.count() + in_flight_;
            double const short_of =
                static_cast<double>(distinct.size()) - slots_ - delivered;
            std::chrono::duration<double> const now =
                arrivals[at].when.time_since_epoch();
            auto const index = static_cast<std::size_t>(now.count() / step_);
            waiting[index] = std::max(waiting[index], short_of);
        }
    }

private:
    double slots_;
    double rate_;
    double in_flight_;
    double step_;
};

duration stall_bound(
    preset const& workload, std::vector<versioned_arrival> const& arrivals) {
    constexpr double step = 1.0;
    constexpr std::size_t starts = 200;
    auto const length = workload.warm_up + workload.measured;
    std::vector<double> waiting(
        static_cast<std::size_t>(length.count()) + 1, 0.0);
    window_bound const bound(workload, step);
    for (std::size_t count = 0; count < starts; ++count) {
        bound.raise(arrivals, count * arrivals.size() / starts, waiting);
    }
    double sum = 0;
    auto const first = static_cast<std::size_t>(workload.warm_up.count());
    for (std::size_t at = first; at < waiting.size(); ++at) {
        sum += waiting[at] * step;
    }
    auto const measured = std::ranges::count_if(
        arrivals, [&workload](versioned_arrival const& each) {
            return each.when >= instant{} + workload.warm_up;
        });
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        sum / static_cast<double>(std::max<std::ptrdiff_t>(1, measured))));
}

duration popularity_stall(
    preset const& workload, std::vector<versioned_arrival> const& arrivals) {
    std::uint32_t const slots =
        workload.engines * workload.engine.adapter_slots;
    std::int64_t all = 0;
    std::int64_t outside = 0;
    for (versioned_arrival const& each : arrivals) {
        if (each.when >= instant{} + workload.warm_up) {
            ++all;
            outside += each.rank >= slots ? 1 : 0;
        }
    }
    return all == 0 ? duration{} : workload.store.load_time() * outside / all;
}

/// All engines as one: a step that is not full gives less than the limit, and
/// only a last step need not be full.
double efficiency_bound(preset const& workload, trace const& input) {
    std::uint64_t tokens = 0;
    for (trace_request const& each : input.requests) {
        if (each.arrival >= instant{} + workload.warm_up) {
            tokens += each.tokens;
        }
    }
    double const limit = workload.engine.batch_limit;
    double const full = static_cast<double>(tokens) / limit;
    return full == 0 ? 1 : full / std::ceil(full);
}

} // namespace

bounds find_bounds(preset const& workload, trace const& input) {
    std::vector<versioned_arrival> const arrivals =
        with_versions(workload, input);
    bounds result;
    result.mean_stall = stall_bound(workload, arrivals);
    result.popularity_stall = popularity_stall(workload, arrivals);
    result.batch_efficiency = efficiency_bound(workload, input);
    return result;
}

} // namespace camphorpoint::bench
