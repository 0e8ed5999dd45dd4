#include "Scheduling/adapter_history.hpp"

#include <algorithm>

namespace camphorpoint::internal {

namespace {

/// Adapters that were not requested within this time are removed.
constexpr std::chrono::minutes retention_period{15};
/// Rates below this many requests per second are not handed over.
constexpr double min_handover_rate = 0.01;

} // namespace

adapter_history::adapter_history(scheduler_settings const& settings)
    : settings_(settings)
    , random_(settings.seed) {}

void adapter_history::record_request(adapter_ref const& adapter, instant now) {
    adapter_record& record = records_[adapter];
    record.request_rate.add(now);
    record.previous_request = record.last_request;
    record.last_request = now;
}

void adapter_history::record_rate(
    adapter_ref const& adapter, double rate, instant now) {
    adapter_record& record = records_[adapter];
    if (record.request_rate.per_second(now) < rate) {
        record.request_rate.set_rate(now, rate);
    }
    record.last_request = std::max(record.last_request, now);
}

std::uint32_t
adapter_history::record_failure(adapter_ref const& adapter, instant now) {
    adapter_record& record = records_[adapter];
    ++record.failures;
    constexpr std::uint32_t max_doublings = 10;
    std::uint32_t const doublings =
        std::min(record.failures - 1, max_doublings);
    duration const full_delay = std::min<duration>(
        settings_.first_backoff * (1 << doublings), settings_.longest_backoff);
    // The jitter prevents replicas whose loads failed at the same time, for
    // instance in an outage of the weight store, from retrying at the same
    // time.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    double const delay =
        jitter(random_) * static_cast<double>(full_delay.count());
    record.retry_at = now + duration(static_cast<duration::rep>(delay));
    return record.failures;
}

void adapter_history::record_loaded(adapter_ref const& adapter) {
    auto const known = records_.find(adapter);
    if (known != records_.end()) {
        known->second.failures = 0;
        known->second.retry_at = instant{};
    }
}

void adapter_history::delay_load(adapter_ref const& adapter, instant until) {
    adapter_record& record = records_[adapter];
    record.retry_at = std::max(record.retry_at, until);
}

adapter_record const&
adapter_history::record_of(adapter_ref const& adapter) const {
    auto const known = records_.find(adapter);
    return known == records_.end() ? empty_ : known->second;
}

double adapter_history::rate(adapter_ref const& adapter, instant now) const {
    return record_of(adapter).request_rate.per_second(now);
}

bool adapter_history::may_load(adapter_ref const& adapter, instant now) const {
    return now >= record_of(adapter).retry_at;
}

bool adapter_history::load_abandoned(
    adapter_ref const& adapter, instant now) const {
    adapter_record const& record = record_of(adapter);
    return record.failures >= settings_.failures_before_refusal &&
           now < record.retry_at;
}

std::vector<handover_demand> adapter_history::demand(instant now) const {
    std::vector<handover_demand> result;
    for (auto const& [adapter, record] : records_) {
        double const rate = record.request_rate.per_second(now);
        if (rate > min_handover_rate) {
            result.push_back({adapter, rate});
        }
    }
    std::ranges::sort(result, {}, &handover_demand::adapter);
    return result;
}

void adapter_history::prune(instant now) {
    std::erase_if(records_, [&](auto const& each) {
        return now - each.second.last_request > retention_period &&
               now >= each.second.retry_at;
    });
}

} // namespace camphorpoint::internal
