#include "Gateway/gateway_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace camphorpoint {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

/// In seconds; the latency objectives of typical routes lie between 0.1 and 1.
prometheus::Histogram::BucketBoundaries const time_buckets{
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.0, 2.0, 5.0};

double seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

class gateway_metrics::state {
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& ends =
        BuildCounter()
            .Name("camphorpoint_gateway_requests_total")
            .Help("Requests by how they ended")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& resends =
        BuildCounter()
            .Name("camphorpoint_gateway_second_sends_total")
            .Help("Sends beyond a request's first, by reason")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& resumptions =
        BuildCounter()
            .Name("camphorpoint_gateway_resumptions_total")
            .Help("Streams that callers resume, by what is known of them")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& orders =
        BuildCounter()
            .Name("camphorpoint_gateway_orders_total")
            .Help("Orders to replicas by what was answered")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& connection_ends =
        BuildCounter()
            .Name("camphorpoint_gateway_connection_ends_total")
            .Help("Connections that the node ended, or that ended without a "
                  "whole answer, by reason")
            .Register(registry);
    prometheus::Counter& gone_back =
        BuildCounter()
            .Name("camphorpoint_gateway_store_gone_back_total")
            .Help("Returns of the store from an older copy")
            .Register(registry)
            .Add({});
    prometheus::Counter& unreadable_loads =
        BuildCounter()
            .Name("camphorpoint_gateway_unreadable_loads_total")
            .Help("Answers whose figures of the replica's load can't be read")
            .Register(registry)
            .Add({});
    prometheus::Family<prometheus::Counter>& untrusted_answers =
        BuildCounter()
            .Name("camphorpoint_gateway_untrusted_answers_total")
            .Help("Answers that say nothing about the request for which they "
                  "came, by kind")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& gauges =
        BuildGauge()
            .Name("camphorpoint_gateway_state")
            .Help("What the node has and knows right now")
            .Register(registry);
    prometheus::Histogram& load_wait =
        BuildHistogram()
            .Name("camphorpoint_gateway_load_wait_seconds")
            .Help("Wait of requests for their adapter")
            .Register(registry)
            .Add({}, time_buckets);
    prometheus::Histogram& first_byte =
        BuildHistogram()
            .Name("camphorpoint_gateway_first_byte_seconds")
            .Help("From a request's arrival to its answer's beginning")
            .Register(registry)
            .Add({}, time_buckets);
};

gateway_metrics::gateway_metrics()
    : state_(std::make_unique<state>()) {}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::count_request(std::string_view reason) {
    state_->ends.Add({{"reason", std::string(reason)}}).Increment();
}

void gateway_metrics::count_resumption(std::string_view origin) {
    state_->resumptions.Add({{"origin", std::string(origin)}}).Increment();
}

void gateway_metrics::count_resend(std::string_view reason) {
    state_->resends.Add({{"reason", std::string(reason)}}).Increment();
}

void gateway_metrics::count_command(std::string_view answer) {
    state_->orders.Add({{"answer", std::string(answer)}}).Increment();
}

void gateway_metrics::count_connection_end(std::string_view why) {
    state_->connection_ends.Add({{"reason", std::string(why)}}).Increment();
}

void gateway_metrics::count_store_rollback() {
    state_->gone_back.Increment();
}

void gateway_metrics::count_unreadable_load() {
    state_->unreadable_loads.Increment();
}

void gateway_metrics::count_untrusted_answers(
    std::string_view kind, unsigned number) {
    if (number > 0) {
        state_->untrusted_answers.Add({{"kind", std::string(kind)}})
            .Increment(number);
    }
}

void gateway_metrics::observe_load_wait(duration time) {
    state_->load_wait.Observe(seconds(time));
}

void gateway_metrics::observe_first_byte(duration time) {
    state_->first_byte.Observe(seconds(time));
}

void gateway_metrics::set_gauge(std::string_view gauge, double value) {
    state_->gauges.Add({{"of", std::string(gauge)}}).Set(value);
}

std::string gateway_metrics::to_text() const {
    return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

} // namespace camphorpoint
