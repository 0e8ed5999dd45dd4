#include "trace.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <random>

namespace camphorpoint::bench {

namespace {

duration seconds_of(double value) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

/// Adapters by popularity; it drifts, and shifts when told.
class popularity {
public:
    popularity(preset const& workload, std::mt19937_64& random)
        : random_(random)
        , active_(workload.active_adapters)
        , order_(workload.adapters) {
        std::iota(order_.begin(), order_.end(), 0U);
        std::ranges::shuffle(order_, random_);
        double sum = 0;
        for (std::uint32_t rank = 0; rank < active_; ++rank) {
            sum += std::pow(rank + 1.0, -workload.zipf_exponent);
            cumulative_.push_back(sum);
        }
    }

    std::uint32_t draw_rank() {
        std::uniform_real_distribution<double> uniform(0, cumulative_.back());
        auto const found =
            std::ranges::lower_bound(cumulative_, uniform(random_));
        return static_cast<std::uint32_t>(found - cumulative_.begin());
    }

    std::uint32_t adapter(std::uint32_t rank) const { return order_[rank]; }

    /// One adapter falls idle and another wakes up in its place.
    void churn() { std::swap(order_[pick(0, active_)], order_[idle()]); }

    /// The most wanted adapters change places with idle ones.
    void shift(std::uint32_t how_many) {
        for (std::uint32_t rank = 0; rank < how_many; ++rank) {
            std::swap(order_[rank], order_[idle()]);
        }
    }

    /// @returns ranks of the lower half of the active and of idle adapters
    std::vector<std::uint32_t> unpopular(std::uint32_t how_many) {
        std::vector<std::uint32_t> result;
        for (std::uint32_t count = 0; count < how_many; ++count) {
            result.push_back(
                pick(active_ / 2, static_cast<std::uint32_t>(order_.size())));
        }
        return result;
    }

    std::uint32_t pick(std::uint32_t from, std::uint32_t to) {
        return std::uniform_int_distribution<std::uint32_t>(from, to - 1)(
            random_);
    }

private:
    std::uint32_t idle() {
        return pick(active_, static_cast<std::uint32_t>(order_.size()));
    }

    std::mt19937_64& random_;
    std::uint32_t active_;
    std::vector<std::uint32_t> order_;
    std::vector<double> cumulative_;
};

/// A burst in one of its repetitions.
struct burst_window {
    instant from;
    instant to;
    double rate_factor = 1;
    double focus_share = 0;
    std::vector<std::uint32_t> focus_ranks;
};

class generator {
public:
    generator(preset const& workload, std::uint64_t seed, fault what)
        : workload_(workload)
        , random_(seed)
        , popularity_(workload, random_)
        , end_(instant{} + workload.warm_up + workload.measured) {
        plan_bursts();
        shift_at_ = what == fault::popularity_shift
                        ? instant{} + workload.warm_up + fault_start
                        : instant::max();
    }

    trace make() {
        make_requests();
        make_calls();
        return std::move(result_);
    }

private:
    void plan_bursts() {
        for (burst const& each : workload_.bursts) {
            instant from = instant{} + workload_.warm_up + each.first;
            while (from < end_) {
                windows_.push_back(
                    {from, from + each.length, each.rate_factor,
                     each.focus_share,
                     popularity_.unpopular(each.focus_adapters)});
                if (each.every.count() == 0) {
                    break;
                }
                from += each.every;
            }
        }
    }

    double rate_factor(instant now) const {
        double factor = 1;
        for (burst_window const& each : windows_) {
            if (now >= each.from && now < each.to) {
                factor *= each.rate_factor;
            }
        }
        return factor;
    }

    void make_requests() {
        instant next_churn{};
        instant next_change = instant{} + workload_.version_change_every;
        double const churn_every =
            3600.0 / (workload_.hourly_churn * workload_.adapters);
        instant now{};
        while (true) {
            double const rate = workload_.request_rate() * rate_factor(now);
            now += exponential(1.0 / rate);
            if (now >= end_) {
                return;
            }
            for (; next_churn <= now; next_churn += seconds_of(churn_every)) {
                popularity_.churn();
            }
            for (; next_change <= now;
                 next_change += workload_.version_change_every) {
                constexpr std::uint32_t changed_ranks = 300;
                result_.changes.push_back(
                    {next_change,
                     popularity_.adapter(popularity_.pick(0, changed_ranks))});
            }
            if (now >= shift_at_) {
                constexpr std::uint32_t shifted_ranks = 150;
                popularity_.shift(shifted_ranks);
                shift_at_ = instant::max();
            }
            result_.requests.push_back(make_request(now));
        }
    }

    trace_request make_request(instant now) {
        trace_request made;
        made.arrival = now;
        made.rank = draw_rank(now);
        made.adapter = popularity_.adapter(made.rank);
        made.work_class = draw_class();
        work_class const& kind = workload_.classes[made.work_class];
        made.tokens = draw_tokens(kind.mean_tokens);
        made.prompt_tokens = kind.prompt_tokens;
        // Requests of one adapter and class share the system prompt.
        made.prefix = made.adapter * 16ULL + made.work_class + 1;
        made.node = popularity_.pick(0, workload_.nodes);
        return made;
    }

    /// Log-normal: most answers lie within half and twice of the mean.
    std::uint32_t draw_tokens(double mean) {
        constexpr double sigma = 0.5;
        std::lognormal_distribution<double> tokens(
            std::log(mean) - sigma * sigma / 2, sigma);
        return 1 + static_cast<std::uint32_t>(tokens(random_));
    }

    std::uint32_t draw_rank(instant now) {
        for (burst_window const& each : windows_) {
            if (now >= each.from && now < each.to &&
                uniform() < each.focus_share) {
                auto const size =
                    static_cast<std::uint32_t>(each.focus_ranks.size());
                return each.focus_ranks[popularity_.pick(0, size)];
            }
        }
        return popularity_.draw_rank();
    }

    std::uint32_t draw_class() {
        double left = uniform();
        std::uint32_t index = 0;
        while (index + 1 < workload_.classes.size() &&
               left >= workload_.classes[index].share) {
            left -= workload_.classes[index].share;
            ++index;
        }
        return index;
    }

    void make_calls() {
        service_parameters const& service = workload_.service;
        instant now{};
        while (true) {
            double const rate = service.calls_per_second * rate_factor(now);
            now += exponential(1.0 / rate);
            if (now >= end_) {
                return;
            }
            std::chrono::duration<double> const mean = service.mean_time;
            result_.calls.push_back({now, exponential(mean.count())});
        }
    }

    double uniform() {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    duration exponential(double mean) {
        return seconds_of(
            std::exponential_distribution<double>(1.0 / mean)(random_));
    }

    preset const& workload_;
    std::mt19937_64 random_;
    popularity popularity_;
    instant end_;
    instant shift_at_;
    std::vector<burst_window> windows_;
    trace result_;
};

} // namespace

trace make_trace(preset const& workload, std::uint64_t seed, fault what) {
    return generator(workload, seed, what).make();
}

} // namespace camphorpoint::bench
