#include "Load/load_plan.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace {

constexpr std::uint32_t longest_repeat_ms = 400;
constexpr std::chrono::milliseconds slow_reader{40};

std::size_t adapters_of_task(load_settings const& settings) {
    std::size_t const tasks = engine_tasks(settings.site).size();
    return std::max<std::size_t>(1, settings.adapters / tasks);
}

/// @returns the place of the task among those that engines do
std::size_t engine_place(deployment const& site, std::size_t task) {
    return static_cast<std::size_t>(std::count_if(
        site.tasks.begin(),
        site.tasks.begin() + static_cast<std::ptrdiff_t>(task),
        [](task_kind const& each) {
            return each.kind == endpoint_kind::engine;
        }));
}

} // namespace

load_plan::load_plan(load_settings settings)
    : settings_(std::move(settings))
    , random_(settings_.seed)
    , engine_task_count_(engine_tasks(settings_.site).size())
    , popularity_(adapters_of_task(settings_), settings_.zipf_exponent) {}

std::optional<planned_request> load_plan::next() {
    // Gaps of a Poisson process are exponential.
    std::exponential_distribution<double> gap(settings_.rate);
    now_ += std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double>(gap(random_)));
    if (now_ >= settings_.length) {
        return std::nullopt;
    }
    auto const& tasks = settings_.site.tasks;
    double left = std::uniform_real_distribution<double>(0, 1)(random_);
    std::size_t chosen = 0;
    while (chosen + 1 < tasks.size() && left >= tasks[chosen].share) {
        left -= tasks[chosen].share;
        ++chosen;
    }
    return make(tasks[chosen], engine_place(settings_.site, chosen));
}

planned_request load_plan::make(task_kind const& task, std::size_t place) {
    planned_request result;
    result.number = number_++;
    result.at = now_;
    result.prompt = fmt::format(
        "{} {} of run {}", task.name, result.number, settings_.seed);
    result.entry_node = static_cast<std::uint32_t>(random_());
    result.keyed = !task.idempotent;
    if (result.keyed && happens(settings_.repeating)) {
        result.repeat_after =
            std::chrono::milliseconds(between(0, longest_repeat_ms));
    }
    if (task.kind == endpoint_kind::service) {
        result.wanted = make_service_profile(settings_.site, task);
        return result;
    }
    std::size_t const adapter =
        popularity_.draw(random_) * engine_task_count_ + place;
    result.wanted = make_profile(settings_.site, adapter, 1);
    result.tokens = between(task.least_tokens, task.most_tokens);
    if (happens(settings_.breaking)) {
        result.break_after = between(1, result.tokens - 1);
    }
    if (happens(settings_.slow)) {
        result.slowness = slow_reader;
    }
    return result;
}

bool load_plan::happens(double share) {
    return std::bernoulli_distribution(share)(random_);
}

std::uint32_t load_plan::between(std::uint32_t least, std::uint32_t most) {
    return std::uniform_int_distribution<std::uint32_t>(least, most)(random_);
}

} // namespace camphorpoint
