#include "capacity_line.hpp"
#include "capacity_parts.hpp"

#include <Camphorpoint/Config>

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

namespace camphorpoint::bench {

namespace {

profile make_profile(std::uint32_t number, std::uint32_t version) {
    profile value;
    value.name = profile_name(fmt::format("tenant-{:05}-support", number));
    value.model = model_id("base-7b");
    value.adapter = {
        adapter_id(fmt::format("tenant-{:05}-lora", number)), version};
    return value;
}

/// Writes and applies changes, and tells what applying cost.
class replay {
public:
    /// @param profiles put in force, fifty to a change
    explicit replay(std::uint32_t profiles) {
        constexpr std::uint32_t at_once = 50;
        for (std::uint32_t first = 0; first < profiles; first += at_once) {
            change next{change_id(fmt::format("fill-{}", first)), "eva", {}};
            std::uint32_t const end = std::min(first + at_once, profiles);
            for (std::uint32_t at = first; at < end; ++at) {
                next.edits.push_back(put_profile{0, make_profile(at, 1)});
            }
            state.apply(record(next));
        }
    }

    /// @returns records of one edit each, on the first profiles
    std::vector<log_record> edits(std::uint32_t count) {
        std::vector<log_record> result;
        for (std::uint32_t at = 0; at < count; ++at) {
            change next{
                change_id(fmt::format("01890a5d-ac96-774b-b9aa-{:012}", at)),
                "eva",
                {}};
            next.edits.push_back(put_profile{1, make_profile(at, 2)});
            result.push_back(record(next));
        }
        return result;
    }

    configuration state;

private:
    log_record record(change const& value) {
        return {log_offset{offset_++}, {}, encode(value)};
    }

    std::uint64_t offset_ = 0;
};

capacity_cost profile_memory(std::uint32_t profiles) {
    capacity_meter const meter;
    replay const subject(profiles);
    return meter.read(1);
}

capacity_cost change_cost(std::uint32_t profiles) {
    constexpr std::uint32_t changes = 2'000;
    replay subject(profiles);
    std::vector<log_record> const records = subject.edits(changes);
    capacity_meter const meter;
    for (log_record const& each : records) {
        subject.state.apply(each);
    }
    return meter.read(changes);
}

capacity_cost change_memory_cost(std::uint32_t changes) {
    constexpr std::uint32_t profiles = 16'000;
    replay subject(profiles);
    std::vector<log_record> const records = subject.edits(changes);
    capacity_meter const meter;
    for (log_record const& each : records) {
        subject.state.apply(each);
    }
    return meter.read(1);
}

capacity_cost adopt_cost(std::uint32_t profiles) {
    replay const subject(profiles);
    configuration_state const whole = subject.state.snapshot();
    configuration fresh;
    capacity_meter const meter;
    fresh.adopt(whole);
    return meter.read(1);
}

capacity_cost checkpoint_cost(std::uint32_t profiles) {
    replay const subject(profiles);
    capacity_meter const meter;
    std::size_t bytes = 0;
    for (state_part const& part :
         split_state(subject.state.snapshot(), config_message_bytes)) {
        bytes += encode(checkpoint_part{node_id("node-1000"), part}).size();
    }
    capacity_cost cost = meter.read(1);
    // The heap is as before; the figure of interest is the text's length.
    cost.retained_bytes = static_cast<double>(bytes);
    return cost;
}

} // namespace

void print_configuration_capacity() {
    // Above 4,096 edits, of which the undo list keeps the latest.
    std::vector<std::uint32_t> const profiles{5'000, 8'000, 12'000, 16'000};
    print_lines(
        "config-profile", cost_figures::memory, profiles, profile_memory);
    print_lines("config-change", cost_figures::time, profiles, change_cost);
    print_lines(
        "config-remembered-change", cost_figures::memory,
        {1'000, 2'000, 3'000, 4'000}, change_memory_cost);
    print_lines("config-adopt", cost_figures::time, profiles, adopt_cost);
    print_lines(
        "config-checkpoint-text", cost_figures::both, profiles,
        checkpoint_cost);
}

} // namespace camphorpoint::bench
