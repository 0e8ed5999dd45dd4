#include "Load/load_report.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <utility>

namespace camphorpoint {

namespace json = boost::json;

namespace {

constexpr char const* all_tasks = "all";
constexpr double median = 0.5;
constexpr double p95 = 0.95;
constexpr double p99 = 0.99;

double in_ms(std::chrono::microseconds time) {
    return std::chrono::duration<double, std::milli>(time).count();
}

json::object describe(sample_set const& samples) {
    return {
        {"samples", samples.size()},
        {"p50_ms", in_ms(samples.percentile(median))},
        {"p95_ms", in_ms(samples.percentile(p95))},
        {"p99_ms", in_ms(samples.percentile(p99))},
        {"max_ms", in_ms(samples.percentile(1))}};
}

json::object describe(std::map<std::string, std::uint64_t> const& counts) {
    json::object result;
    for (auto const& [name, count] : counts) {
        result[name] = count;
    }
    return result;
}

std::string times_text(char const* name, sample_set const& samples) {
    if (samples.size() == 0) {
        return "";
    }
    return fmt::format(
        "    {:<14} p50 {:>9.2f}  p95 {:>9.2f}  p99 {:>9.2f}  max {:>9.2f} "
        "ms  ({})\n",
        name, in_ms(samples.percentile(median)), in_ms(samples.percentile(p95)),
        in_ms(samples.percentile(p99)), in_ms(samples.percentile(1)),
        samples.size());
}

std::string
counts_text(char const* name, std::map<std::string, std::uint64_t> const& all) {
    std::string text;
    for (auto const& [code, count] : all) {
        text += fmt::format(" {} {}", code, count);
    }
    return text.empty() ? "" : fmt::format("    {:<14}{}\n", name, text);
}

std::string summary_name(request_result const& result) {
    if (!result.probe) {
        return result.task;
    }
    if (result.direct) {
        return "probe-direct";
    }
    // A probe that met a stopped node waited by its own rule before it tried
    // the next one: that pause says nothing of a node's own latency.
    return result.refused_connections == 0 ? "probe-node" : "probe-refused";
}

} // namespace

std::string_view to_string(seen_end end) noexcept {
    switch (end) {
    case seen_end::done:
        return "done";
    case seen_end::not_run:
        return "not-run";
    case seen_end::unknown:
        return "unknown";
    case seen_end::wrong:
        return "wrong";
    case seen_end::cut:
        return "cut";
    case seen_end::no_node:
        return "no-node";
    }
    return "cut";
}

void load_report::add(request_result result) {
    wrong_ += result.end == seen_end::wrong ? 1 : 0;
    wrong_ += result.repeated && result.repeat_end == seen_end::wrong ? 1 : 0;
    cut_ += result.end == seen_end::cut ? 1 : 0;
    resumes_ += result.resumes;
    repeats_ += result.repeated ? 1 : 0;
    refused_connections_ += result.refused_connections;
    add_to(tasks_[summary_name(result)], result);
    if (!result.probe) {
        add_to(tasks_[all_tasks], result);
    }
    results_.push_back(std::move(result));
}

void load_report::add_to(task_summary& summary, request_result const& result) {
    ++summary.requests;
    ++summary.ends[std::string(to_string(result.end))];
    if (result.end != seen_end::done && !result.why.empty()) {
        ++summary.reasons[result.why];
    }
    if (result.fault != answer_fault::none) {
        ++summary.faults[std::string(to_string(result.fault))];
    }
    if (result.end != seen_end::done || result.odd_caller) {
        return;
    }
    if (result.first_token) {
        summary.first_token.add(*result.first_token);
    }
    summary.total.add(result.total);
    for (std::chrono::microseconds const each : result.gaps) {
        summary.gaps.add(each);
    }
}

double load_report::share_done() const {
    auto const all = tasks_.find(all_tasks);
    if (all == tasks_.end()) {
        return 0;
    }
    auto const done =
        all->second.ends.find(std::string(to_string(seen_end::done)));
    if (done == all->second.ends.end()) {
        return 0;
    }
    return static_cast<double>(done->second) /
           static_cast<double>(all->second.requests);
}

std::string load_report::table() const {
    std::string text;
    for (auto const& [name, summary] : tasks_) {
        text += fmt::format("{}: {} requests\n", name, summary.requests);
        text += counts_text("ends", summary.ends);
        text += counts_text("reasons", summary.reasons);
        text += counts_text("faults", summary.faults);
        text += times_text("first token", summary.first_token);
        text += times_text("total", summary.total);
        text += times_text("between", summary.gaps);
    }
    text += fmt::format(
        "wrong {}  cut {}  resumes {}  repeats {}  refused connections {}\n",
        wrong_, cut_, resumes_, repeats_, refused_connections_);
    return text;
}

std::string load_report::json() const {
    json::object tasks;
    for (auto const& [name, summary] : tasks_) {
        tasks[name] = json::object{
            {"requests", summary.requests},
            {"ends", describe(summary.ends)},
            {"reasons", describe(summary.reasons)},
            {"faults", describe(summary.faults)},
            {"first_token", describe(summary.first_token)},
            {"total", describe(summary.total)},
            {"between", describe(summary.gaps)}};
    }
    return json::serialize(json::object{
        {"wrong", wrong_},
        {"cut", cut_},
        {"resumes", resumes_},
        {"repeats", repeats_},
        {"refused_connections", refused_connections_},
        {"tasks", tasks}});
}

} // namespace camphorpoint
