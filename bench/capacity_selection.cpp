#include "Fleet/replica_selector.hpp"
#include "capacity_line.hpp"
#include "capacity_parts.hpp"

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace camphorpoint::bench {

namespace {

constexpr std::uint32_t adapters = 16'000;
constexpr std::uint32_t adapters_per_replica = 8;

adapter_id adapter_name(std::uint32_t number) {
    return adapter_id(fmt::format("m/a{}", number % adapters));
}

/// One node's view of the replicas of one service, and requests for adapters in
/// turn.
class selection_rig {
public:
    explicit selection_rig(std::uint32_t replicas)
        : selector_(replicas_) {
        need_.service = service_id("s");
        need_.model = model_id("m");
        for (std::uint32_t at = 0; at < replicas; ++at) {
            replica_record record;
            record.id = endpoint_id(fmt::format("i-{:05}", at));
            record.service = need_.service;
            record.slots = 12;
            record.models = {need_.model};
            for (std::uint32_t each = 0; each < adapters_per_replica; ++each) {
                record.adapters.push_back(
                    {adapter_name(at * adapters_per_replica + each), 1});
            }
            replicas_.apply(record, now_);
        }
    }

    void select() {
        next();
        chosen_ += selector_.best(need_, now_) != nullptr ? 1 : 0;
    }
    void prefer() {
        next();
        chosen_ +=
            selector_.next_preferred_replica(need_, now_) != nullptr ? 1 : 0;
    }
    void average() {
        next();
        sum_ += selector_.mean_utilization(need_.service, now_);
    }

private:
    void next() {
        now_ += std::chrono::microseconds(100);
        need_.adapter = adapter_name(number_);
        need_.random_sample = number_++;
    }

    fleet replicas_;
    replica_selector selector_;
    replica_requirements need_;
    std::uint32_t number_ = 0;
    std::uint32_t chosen_ = 0;
    double sum_ = 0;
    instant now_ = instant{} + std::chrono::hours(1);
};

/// @param decide the decision that is measured
auto cost_of(void (selection_rig::*decide)()) {
    return [decide](std::uint32_t replicas) {
        constexpr int turns = 500;
        selection_rig subject(replicas);
        capacity_meter const meter;
        for (int at = 0; at < turns; ++at) {
            (subject.*decide)();
        }
        return meter.read(turns);
    };
}

} // namespace

void print_selection_capacity() {
    std::vector<std::uint32_t> const sizes{150, 1'500, 6'000, 12'000};
    print_lines(
        "select-replica", cost_figures::time, sizes,
        cost_of(&selection_rig::select));
    print_lines(
        "prefer-replica", cost_figures::time, sizes,
        cost_of(&selection_rig::prefer));
    print_lines(
        "mean-utilization", cost_figures::time, sizes,
        cost_of(&selection_rig::average));
}

} // namespace camphorpoint::bench
