#include "Node/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <chrono>
#include <map>
#include <string_view>
#include <utility>

namespace camphorpoint {

namespace {

using seconds = std::chrono::duration<double>;

// From a queue that is empty to a deadline that is nearly reached.
prometheus::Histogram::BucketBoundaries const time_bounds{
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.25,   0.5,   1,      2.5,   5,    10,    30,   60};

} // namespace

class metrics::state {
public:
    state();

    prometheus::Family<prometheus::Counter>& family(count_reason::kind what) {
        return what == count_reason::kind::refusal ? refusals_ : retries_;
    }
    prometheus::Histogram& histogram(observe_time::kind what) {
        return *times_.at(what);
    }
    void set(std::string const& name, std::string const& help, double value);
    std::string text() const;

private:
    prometheus::Histogram&
    add_histogram(std::string const& name, std::string const& help);

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Family<prometheus::Counter>& retries_;
    std::map<observe_time::kind, prometheus::Histogram*> times_;
};

metrics::state::state()
    : refusals_(prometheus::BuildCounter()
                    .Name("camphorpoint_refusals_total")
                    .Help("Requests that were refused, by reason.")
                    .Register(registry_))
    , retries_(prometheus::BuildCounter()
                   .Name("camphorpoint_retries_total")
                   .Help("Attempts that were made again, by reason.")
                   .Register(registry_)) {
    using kind = observe_time::kind;
    times_[kind::load_stall] = &add_histogram(
        "camphorpoint_load_stall_seconds",
        "Time that requests waited for their adapter to load.");
    times_[kind::queueing] = &add_histogram(
        "camphorpoint_queueing_seconds",
        "Time from a request's arrival to its sending.");
    times_[kind::first_token] = &add_histogram(
        "camphorpoint_first_token_seconds",
        "Time from a request's arrival to its first token.");
    times_[kind::request] = &add_histogram(
        "camphorpoint_request_seconds",
        "Time from a request's arrival to its end.");
    // Every reason is there from the start: a counter that appears with its
    // first increment hides that increment from rate().
    auto const last = static_cast<int>(reason::internal_error);
    for (int each = 1; each <= last; ++each) {
        std::string const name(to_string(static_cast<reason>(each)));
        refusals_.Add({{"reason", name}});
        retries_.Add({{"reason", name}});
    }
}

prometheus::Histogram& metrics::state::add_histogram(
    std::string const& name, std::string const& help) {
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(registry_)
        .Add({}, time_bounds);
}

void metrics::state::set(
    std::string const& name, std::string const& help, double value) {
    prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry_)
        .Add({})
        .Set(value);
}

std::string metrics::state::text() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

metrics::metrics()
    : state_(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::count(count_reason const& what) {
    std::string const name(to_string(what.why));
    state_->family(what.what).Add({{"reason", name}}).Increment();
}

void metrics::observe(observe_time const& what) {
    state_->histogram(what.what).Observe(seconds(what.time).count());
}

std::string
metrics::text(node_status const& status, port_figures const& figures) {
    struct gauge {
        std::string_view name;
        std::string_view help;
        double value;
    };
    auto const number = [](auto value) {
        return static_cast<double>(value);
    };
    std::array const gauges{
        gauge{
            "ready", "1 while the node takes requests.",
            status.ready ? 1.0 : 0.0},
        gauge{
            "draining", "1 during a planned stop.",
            status.draining ? 1.0 : 0.0},
        gauge{
            "configuration_offset", "One past the newest applied record.",
            number(status.configuration.value)},
        gauge{
            "configuration_age_seconds",
            "Time since the configuration was known to be current.",
            seconds(status.configuration_age).count()},
        gauge{"profiles", "Profiles in force.", number(status.profiles)},
        gauge{
            "waiting_requests", "Requests that wait for a grant.",
            number(status.waiting_requests)},
        gauge{
            "running_requests", "Requests that run on an endpoint.",
            number(status.running_requests)},
        gauge{
            "owned_resources", "Resources that this node decides for.",
            number(status.owned.size())},
        gauge{
            "members", "Nodes that this node knows of.",
            number(status.members.size())},
        gauge{
            "caller_connections", "Connections of callers.",
            number(figures.caller_connections)},
        gauge{
            "idle_connections", "Connections to endpoints kept for reuse.",
            number(figures.idle_connections)},
        gauge{
            "running_attempts", "Requests under way at endpoints.",
            number(figures.running_attempts)},
        gauge{
            "queued_peer_bytes", "Bytes that wait for peers.",
            number(figures.queued_peer_bytes)},
    };
    for (gauge const& each : gauges) {
        state_->set(
            "camphorpoint_" + std::string(each.name), std::string(each.help),
            each.value);
    }
    return state_->text();
}

} // namespace camphorpoint
