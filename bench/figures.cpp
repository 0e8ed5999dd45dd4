#include "figures.hpp"

#include <algorithm>
#include <map>
#include <numeric>

namespace camphorpoint::bench {

namespace {

double milliseconds_of(duration span) {
    return std::chrono::duration<double, std::milli>(span).count();
}

double mean_of(std::vector<double> const& values) {
    if (values.empty()) {
        return 0;
    }
    double const sum = std::accumulate(values.begin(), values.end(), 0.0);
    return sum / static_cast<double>(values.size());
}

/// @returns the value that `part` of all values does not exceed
double quantile(std::vector<double> values, double part) {
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    auto const last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(part * last)];
}

class collector {
public:
    explicit collector(world const& cluster)
        : world_(cluster) {
        for (std::size_t index = 0; index < cluster.records().size(); ++index) {
            if (cluster.request(index).arrival >= cluster.measured_from()) {
                chosen_.push_back(index);
            }
        }
    }

    run_result collect() {
        stalls();
        steps();
        queueing();
        first_tokens();
        endings();
        scans();
        series();
        return std::move(result_);
    }

private:
    void add(std::string name, std::string unit, double value) {
        result_.figures.push_back({std::move(name), std::move(unit), value});
    }

    void stalls() {
        std::vector<double> values;
        for (std::size_t const index : chosen_) {
            values.push_back(milliseconds_of(stall_of(index)));
        }
        auto const stalled = std::ranges::count_if(
            values, [](double value) { return value > 1.0; });
        add("stall mean", "ms", mean_of(values));
        add("stall p50", "ms", quantile(values, 0.50));
        add("stall p95", "ms", quantile(values, 0.95));
        add("stall p99", "ms", quantile(values, 0.99));
        add("stalled", "%", percent(static_cast<double>(stalled)));
    }

    /// A request that still waits at the end has stalled until then.
    duration stall_of(std::size_t index) const {
        request_record const& entry = world_.record(index);
        if (entry.state != request_state::waiting || !entry.engine ||
            world_.engine(*entry.engine).resident(entry.adapter)) {
            return entry.load_stall;
        }
        return entry.load_stall + (world_.end() - entry.assigned);
    }

    void steps() {
        step_sample sum;
        auto const first =
            static_cast<std::size_t>(world_.workload().warm_up.count());
        for (std::size_t at = first; at < world_.steps().size(); ++at) {
            sum.steps += world_.steps()[at].steps;
            sum.sequences += world_.steps()[at].sequences;
        }
        add("batch efficiency", "%", 100 * fullness(sum));
        add("steps", "1/s",
            static_cast<double>(sum.steps) /
                static_cast<double>(world_.workload().measured.count()));
    }

    double fullness(step_sample const& sample) const {
        double const places = static_cast<double>(sample.steps) *
                              world_.workload().engine.batch_limit;
        return places == 0 ? 0 : static_cast<double>(sample.sequences) / places;
    }

    void queueing() {
        auto const& classes = world_.workload().classes;
        for (std::uint32_t kind = 0; kind < classes.size(); ++kind) {
            std::vector<double> values;
            for (std::size_t const index : chosen_) {
                if (world_.request(index).work_class == kind) {
                    values.push_back(milliseconds_of(queued(index)));
                }
            }
            add("queue p99 " + classes[kind].name, "ms",
                quantile(std::move(values), 0.99));
        }
    }

    /// Waiting that was not for a load, until the start or the refusal.
    duration queued(std::size_t index) const {
        request_record const& entry = world_.record(index);
        instant until = world_.end();
        if (entry.state == request_state::refused) {
            until = entry.finished;
        } else if (entry.state != request_state::waiting) {
            until = entry.admitted;
        }
        duration const waited = until - world_.request(index).arrival;
        return std::max(duration::zero(), waited - stall_of(index));
    }

    void first_tokens() {
        std::vector<double> all;
        std::vector<double> urgent;
        for (std::size_t const index : chosen_) {
            instant const token = world_.record(index).first_token;
            if (token == instant{}) {
                continue;
            }
            double const time = milliseconds_of(
                token - world_.request(index).arrival +
                world_.workload().client_latency);
            all.push_back(time);
            if (world_.kind(index).how_urgent == urgency::immediate) {
                urgent.push_back(time);
            }
        }
        add("first token p50", "ms", quantile(all, 0.50));
        add("first token p95", "ms", quantile(all, 0.95));
        add("first token p99", "ms", quantile(all, 0.99));
        add("urgent first token p95", "ms", quantile(urgent, 0.95));
    }

    void endings() {
        double in_time = 0;
        double late = 0;
        std::map<reason, double> refused;
        for (std::size_t const index : chosen_) {
            request_record const& entry = world_.record(index);
            if (entry.state == request_state::done) {
                bool const good = entry.finished <= world_.deadline(index);
                in_time += good ? 1 : 0;
                late += good ? 0 : 1;
            } else if (entry.state == request_state::refused) {
                refused[entry.why] += 1;
            }
        }
        add("goodput", "1/s",
            in_time / static_cast<double>(world_.workload().measured.count()));
        add("in time", "%", percent(in_time));
        add("late", "%", percent(late));
        for (auto const& [why, count] : refused) {
            add("refused " + std::string(to_string(why)), "%", percent(count));
        }
        class_endings();
        add("loads per request", "",
            static_cast<double>(world_.loads_ordered()) /
                static_cast<double>(std::max<std::size_t>(1, chosen_.size())));
    }

    void class_endings() {
        auto const& classes = world_.workload().classes;
        for (std::uint32_t kind = 0; kind < classes.size(); ++kind) {
            double asked = 0;
            double in_time = 0;
            for (std::size_t const index : chosen_) {
                if (world_.request(index).work_class != kind) {
                    continue;
                }
                request_record const& entry = world_.record(index);
                asked += 1;
                in_time += entry.state == request_state::done &&
                                   entry.finished <= world_.deadline(index)
                               ? 1
                               : 0;
            }
            add("in time " + classes[kind].name, "%",
                asked == 0 ? 0 : 100 * in_time / asked);
        }
    }

    void scans() {
        std::vector<double> waits;
        for (duration const wait : world_.call_waits()) {
            waits.push_back(milliseconds_of(wait));
        }
        add("scan queue p99", "ms", quantile(std::move(waits), 0.99));
    }

    void series() {
        auto const length =
            static_cast<std::size_t>(world_.workload().measured.count());
        auto const first =
            static_cast<std::size_t>(world_.workload().warm_up.count());
        result_.series.resize(length);
        for (std::size_t at = 0; at < length; ++at) {
            result_.series[at].batch_fullness =
                fullness(world_.steps()[first + at]);
        }
        for (std::size_t const index : chosen_) {
            auto const at = std::chrono::floor<std::chrono::seconds>(
                world_.request(index).arrival - world_.measured_from());
            second_sample& sample =
                result_.series[static_cast<std::size_t>(at.count())];
            sample.arrivals += 1;
            sample.mean_stall_ms += milliseconds_of(stall_of(index));
        }
        for (second_sample& sample : result_.series) {
            sample.mean_stall_ms /= std::max(1.0, sample.arrivals);
        }
    }

    double percent(double count) const {
        return chosen_.empty()
                   ? 0
                   : 100 * count / static_cast<double>(chosen_.size());
    }

    world const& world_;
    std::vector<std::size_t> chosen_;
    run_result result_;
};

} // namespace

run_result measure(world const& cluster) {
    run_result result = collector(cluster).collect();
    result.preset = cluster.workload().name;
    result.fault = to_string(cluster.what_fails());
    return result;
}

double value_of(run_result const& result, std::string_view name) {
    auto const found = std::ranges::find(result.figures, name, &figure::name);
    return found == result.figures.end() ? 0 : found->value;
}

} // namespace camphorpoint::bench
