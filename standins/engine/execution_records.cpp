#include "engine/execution_records.hpp"

#include "common/standin_main.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <utility>

namespace standins {

namespace json = boost::json;

namespace {

json::object describe_run(engine_run const& run) {
    return {
        {"request", run.order.request},
        {"adapter", run.order.adapter.id.str()},
        {"version", run.order.adapter.version},
        {"key", run.order.key},
        {"prompt", fmt::format("{:016x}", run.order.prompt)},
        {"state", to_string(run.state)},
        {"taken_ms", in_milliseconds(run.taken)},
        {"start_ms", in_milliseconds(run.started)},
        {"end_ms", in_milliseconds(run.ended)},
        {"tokens", run.produced},
        {"tokens_wanted", run.order.tokens}};
}

} // namespace

void execution_records::add(std::shared_ptr<engine_run const> run) {
    runs_.push_back(std::move(run));
}

void execution_records::add_violation(
    camphorpoint::adapter_ref const& adapter, std::uint32_t runs,
    camphorpoint::instant now) {
    violations_.push_back({adapter, runs, now});
}

void execution_records::count_step(std::size_t sequences) noexcept {
    ++steps_;
    sequences_ += sequences;
}

std::string execution_records::describe() const {
    json::array runs;
    for (auto const& each : runs_) {
        runs.emplace_back(describe_run(*each));
    }
    json::array violations;
    for (violation const& each : violations_) {
        violations.push_back(json::object{
            {"adapter", each.adapter.id.str()},
            {"version", each.adapter.version},
            {"runs", each.runs},
            {"at_ms", in_milliseconds(each.at)}});
    }
    return json::serialize(json::object{
        {"runs", runs},
        {"evictions_under_request", violations},
        {"loads", loads_},
        {"failed_loads", failed_loads_},
        {"evictions", evictions_},
        {"refusals", refusals_},
        {"steps", steps_},
        {"sequence_steps", sequences_}});
}

} // namespace standins
