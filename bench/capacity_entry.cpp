#include "capacity_line.hpp"
#include "capacity_parts.hpp"

#include <Camphorpoint/Placement>

#include <fmt/format.h>

#include <vector>

namespace camphorpoint::bench {

namespace {

using std::chrono::hours;

constexpr std::uint32_t slots = 32;
constexpr std::uint32_t batch_limit = 32;
constexpr std::uint32_t nodes = 1'900;

std::vector<placement_endpoint> make_replicas(std::uint32_t count) {
    constexpr std::uint32_t domains = 35;
    std::vector<placement_endpoint> result;
    for (std::uint32_t at = 0; at < count; ++at) {
        placement_endpoint each;
        each.id = endpoint_id(fmt::format("engine-{:05}", at));
        each.model = model_id("base-7b");
        each.domain = domain_id(fmt::format("domain-{}", at % domains));
        each.batch_limit = batch_limit;
        each.adapter_slots = slots;
        result.push_back(each);
    }
    return result;
}

placement_settings entry_settings() {
    placement_settings result;
    result.domain = domain_id("domain-0");
    result.nodes = nodes;
    return result;
}

adapter_ref make_adapter(std::uint32_t number) {
    return {adapter_id(fmt::format("tenant-{:05}-lora", number)), 1};
}

void choose_each(placement<>& subject, std::uint32_t adapters, instant now) {
    for (std::uint32_t at = 0; at < adapters; ++at) {
        adapter_ref const adapter = make_adapter(at);
        subject.on_demand(adapter, now);
        auto const chosen = subject.choose(
            adapter, model_id("base-7b"), urgency::normal, 0, {}, now);
        if (chosen) {
            subject.on_feedback(*chosen, adapter, {}, now);
        }
    }
}

/// @param known false: each adapter is asked for the first time
capacity_cost
choose_cost(std::uint32_t replicas, std::uint32_t adapters, bool known) {
    placement<> subject(entry_settings());
    subject.set_endpoints(make_replicas(replicas));
    instant const now{hours(1)};
    if (known) {
        choose_each(subject, adapters, now);
    }
    capacity_meter const meter;
    choose_each(subject, adapters, now + std::chrono::seconds(1));
    return meter.read(adapters);
}

capacity_cost replica_memory(std::uint32_t replicas) {
    std::vector<placement_endpoint> const list = make_replicas(replicas);
    capacity_meter const meter;
    placement<> subject(entry_settings());
    subject.set_endpoints(list);
    return meter.read(1);
}

capacity_cost adapter_memory(std::uint32_t adapters) {
    placement<> subject(entry_settings());
    subject.set_endpoints(make_replicas(2'000));
    capacity_meter const meter;
    choose_each(subject, adapters, instant(hours(1)));
    return meter.read(1);
}

} // namespace

void print_entry_capacity() {
    std::vector<std::uint32_t> const replicas{18, 250, 1'000, 2'000};
    constexpr std::uint32_t some = 2'000;
    print_lines(
        "entry-choose", cost_figures::time, replicas,
        [](std::uint32_t count) { return choose_cost(count, some, true); });
    print_lines(
        "entry-first-choose", cost_figures::time, replicas,
        [](std::uint32_t count) { return choose_cost(count, some, false); });
    std::vector<std::uint32_t> const adapters{2'000, 4'000, 8'000, 16'000};
    print_lines(
        "entry-choose-adapters", cost_figures::time, adapters,
        [](std::uint32_t count) { return choose_cost(some, count, true); });
    print_lines(
        "entry-adapter", cost_figures::memory, adapters, adapter_memory);
    print_lines(
        "entry-replica", cost_figures::both, {1'500, 3'000, 6'000, 12'000},
        replica_memory);
}

} // namespace camphorpoint::bench
