#include "Fleet/running_request_tracker.hpp"

#include <chrono>
#include <cmath>

namespace camphorpoint {

namespace {

/// A node repeats its counts every 200 ms while it has runs. One that tells
/// nothing for so long has stopped, and its runs are over.
constexpr duration telling_ends = std::chrono::seconds(3);
/// Between an answer and the word of the run that follows from it lie two ways
/// between nodes and the sender's own work.
constexpr duration answer_fades = std::chrono::milliseconds(20);
/// Loads take about this long, and those who wait for one send then.
constexpr duration wait_fades = std::chrono::milliseconds(300);
/// Less than this is nothing.
constexpr double least_left = 0.05;

} // namespace

void running_request_tracker::fading::add(
    double more, duration half_life, instant now) {
    sum_ = left(half_life, now) + more;
    at_ = now;
}

double
running_request_tracker::fading::left(duration half_life, instant now) const {
    std::chrono::duration<double> const passed = now - at_;
    std::chrono::duration<double> const half = half_life;
    return sum_ * std::exp2(-passed.count() / half.count());
}

void running_request_tracker::change(
    at_replica& at, adapter_id const& adapter, unsigned from, unsigned to) {
    at.running = at.running - from + to;
    unsigned& of_adapter = at.by_adapter[adapter];
    of_adapter = of_adapter - from + to;
    if (of_adapter == 0) {
        at.by_adapter.erase(adapter);
    }
}

void running_request_tracker::update(
    std::string const& node, std::uint64_t replica, adapter_id const& adapter,
    unsigned running, unsigned prompt_tokens, instant now) {
    at_replica& at = replicas_[replica];
    if (prompt_tokens > 0) {
        at.backlog.add(prompt_tokens, now);
    }
    auto const place = at.runs.try_emplace({node, adapter}).first;
    change(at, adapter, place->second.running, running);
    place->second = {running, now};
    if (running == 0) {
        at.runs.erase(place);
    }
}

void running_request_tracker::add_expected_request(
    std::uint64_t replica, double probability, instant now) {
    replicas_[replica].answers.add(probability, answer_fades, now);
}

void running_request_tracker::add_waiting_request(
    std::uint64_t replica, instant now) {
    replicas_[replica].waits.add(1, wait_fades, now);
}

replica_usage
running_request_tracker::usage(std::uint64_t replica, instant now) const {
    replica_usage sum;
    auto const found = replicas_.find(replica);
    if (found == replicas_.end()) {
        return sum;
    }
    at_replica const& at = found->second;
    double const coming =
        at.answers.left(answer_fades, now) + at.waits.left(wait_fades, now);
    sum.running = at.running + static_cast<unsigned>(coming);
    sum.backlog_tokens = at.backlog.remaining_tokens(now);
    return sum;
}

bool running_request_tracker::in_use(
    std::uint64_t replica, adapter_id const& adapter) const {
    auto const found = replicas_.find(replica);
    return found != replicas_.end() &&
           found->second.by_adapter.contains(adapter);
}

void running_request_tracker::drop_timed_out_nodes(instant now) {
    for (auto each = replicas_.begin(); each != replicas_.end();) {
        at_replica& at = each->second;
        for (auto runs = at.runs.begin(); runs != at.runs.end();) {
            if (now < runs->second.when + telling_ends) {
                ++runs;
                continue;
            }
            change(at, runs->first.second, runs->second.running, 0);
            runs = at.runs.erase(runs);
        }
        bool const idle = at.runs.empty() &&
                          at.backlog.remaining_tokens(now) <= 0 &&
                          at.waits.left(wait_fades, now) < least_left;
        each = idle ? replicas_.erase(each) : std::next(each);
    }
}

} // namespace camphorpoint
