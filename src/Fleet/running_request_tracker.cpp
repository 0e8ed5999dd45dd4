#include "Fleet/running_request_tracker.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace camphorpoint {

namespace {

/// A node repeats its counts every 200 ms while it has running requests. A node
/// that has sent none for this long has stopped, and its requests are over.
constexpr duration node_timeout = std::chrono::seconds(3);
/// An answer to a usage query and the report of the request that follows from
/// it are separated by two transfers between nodes and the sender's own
/// processing time.
constexpr duration expected_half_life = std::chrono::milliseconds(20);
/// Loads take about this long, and the requests that wait for one are sent when
/// it completes.
constexpr duration waiting_half_life = std::chrono::milliseconds(300);
/// Smaller counts are treated as zero.
constexpr double negligible_count = 0.05;

} // namespace

void running_request_tracker::decaying_count::add(
    double amount, duration half_life, instant now) {
    sum_ = value(half_life, now) + amount;
    updated_at_ = now;
}

double running_request_tracker::decaying_count::value(
    duration half_life, instant now) const {
    std::chrono::duration<double> const passed = now - updated_at_;
    std::chrono::duration<double> const half = half_life;
    return sum_ * std::exp2(-passed.count() / half.count());
}

void running_request_tracker::adjust(
    replica_state& state, adapter_id const& adapter, unsigned from,
    unsigned to) {
    state.running = state.running - from + to;
    unsigned& of_adapter = state.by_adapter[adapter];
    of_adapter = of_adapter - from + to;
    if (of_adapter == 0) {
        state.by_adapter.erase(adapter);
    }
}

void running_request_tracker::update(
    std::string const& node, std::uint64_t replica, adapter_id const& adapter,
    unsigned running, unsigned prompt_tokens, instant now) {
    replica_state& state = replicas_[replica];
    if (prompt_tokens > 0) {
        state.backlog.add(prompt_tokens, now);
    }
    auto const entry = state.requests.try_emplace({node, adapter}).first;
    adjust(state, adapter, entry->second.running, running);
    state.pace.set_load(1.0 * state.running / state.slots, now);
    entry->second = {running, now};
    if (running == 0) {
        state.requests.erase(entry);
    }
}

void running_request_tracker::add_slowdown(
    std::uint64_t replica, double factor, instant now) {
    replicas_[replica].slowdown.set(factor, now);
}

void running_request_tracker::describe(
    std::uint64_t replica, unsigned slots, std::optional<incarnation> process,
    duration token_time, instant now) {
    auto const found = replicas_.find(replica);
    if (found == replicas_.end()) {
        return;
    }
    replica_state& state = found->second;
    state.slots = std::max(1U, slots);
    state.pace.set_process(process);
    state.backlog.set_token_time(token_time, now);
}

// Guards against a replica that is avoided because it is full: its load would
// swing between none and twice its room. A replica that rejects requests
// although it has room fails them.
avoidance_change running_request_tracker::add_attempt(
    std::uint64_t replica, unsigned slots, attempt_report const& report,
    instant now) {
    bool const rejected = report.signal == health_signal::rejected;
    if (rejected && running(replica) > slots) {
        return avoidance_change::none;
    }
    replica_state& state = replicas_[replica];
    state.pace.add(report, now);
    return state.outcomes.add(report, now);
}

bool running_request_tracker::take_probe(
    std::uint64_t replica, bool suitable, instant now) {
    auto const found = replicas_.find(replica);
    return found != replicas_.end() &&
           found->second.outcomes.take_probe(suitable, now);
}

replica_outcomes const*
running_request_tracker::outcomes(std::uint64_t replica) const {
    auto const found = replicas_.find(replica);
    return found == replicas_.end() ? nullptr : &found->second.outcomes;
}

bool running_request_tracker::forget_outcomes(std::uint64_t replica) {
    auto const found = replicas_.find(replica);
    if (found == replicas_.end()) {
        return false;
    }
    bool const avoided = found->second.outcomes.avoided();
    found->second.outcomes = replica_outcomes();
    return avoided;
}

void running_request_tracker::add_expected_request(
    std::uint64_t replica, double probability, instant now) {
    replicas_[replica].expected.add(probability, expected_half_life, now);
}

void running_request_tracker::add_waiting_request(
    std::uint64_t replica, instant now) {
    replicas_[replica].waiting.add(1, waiting_half_life, now);
}

replica_usage
running_request_tracker::usage(std::uint64_t replica, instant now) const {
    replica_usage result;
    auto const found = replicas_.find(replica);
    if (found == replicas_.end()) {
        return result;
    }
    replica_state const& state = found->second;
    double const upcoming = state.expected.value(expected_half_life, now) +
                            state.waiting.value(waiting_half_life, now);
    result.running = state.running + static_cast<unsigned>(upcoming);
    result.backlog_tokens = state.backlog.remaining_tokens(now);
    pace_measure const pace = state.pace.measure(now);
    result.condition.event_interval = pace.event_interval;
    result.condition.token_time = pace.token_time;
    if (state.slowdown.stated(now)) {
        result.condition.slowdown = state.slowdown.factor(now);
        result.condition.slowdown_age = state.slowdown.age(now);
    }
    result.condition.failure_probability =
        state.outcomes.failure_probability(now);
    result.condition.avoided = state.outcomes.avoided();
    result.condition.readmitted = state.outcomes.readmitted(now);
    return result;
}

unsigned running_request_tracker::running(std::uint64_t replica) const {
    auto const found = replicas_.find(replica);
    return found == replicas_.end() ? 0 : found->second.running;
}

bool running_request_tracker::in_use(
    std::uint64_t replica, adapter_id const& adapter) const {
    auto const found = replicas_.find(replica);
    return found != replicas_.end() &&
           found->second.by_adapter.contains(adapter);
}

void running_request_tracker::drop_timed_out_nodes(instant now) {
    for (auto each = replicas_.begin(); each != replicas_.end();) {
        replica_state& state = each->second;
        for (auto requests = state.requests.begin();
             requests != state.requests.end();) {
            if (now < requests->second.reported_at + node_timeout) {
                ++requests;
                continue;
            }
            adjust(state, requests->first.second, requests->second.running, 0);
            requests = state.requests.erase(requests);
        }
        bool const idle =
            state.requests.empty() && state.pace.empty(now) &&
            state.outcomes.forgettable(now) &&
            state.backlog.remaining_tokens(now) <= 0 &&
            state.waiting.value(waiting_half_life, now) < negligible_count;
        each = idle ? replicas_.erase(each) : std::next(each);
    }
}

} // namespace camphorpoint
