#include "Ownership/node_ranking.hpp"
#include "capacity_line.hpp"
#include "capacity_parts.hpp"

#include <Camphorpoint/Ownership>

#include <fmt/format.h>

#include <vector>

namespace camphorpoint::bench {

namespace {

constexpr std::uint32_t nodes = 1'900;

node_run owner_of(std::uint32_t resource) {
    constexpr std::uint64_t run = 1'764'000'000'000;
    return {node_id(fmt::format("node-{:04}", resource % nodes)), run};
}

/// Claims of one resource each.
std::vector<control_record> make_claims(std::uint32_t resources) {
    std::vector<control_record> result;
    for (std::uint32_t at = 0; at < resources; ++at) {
        control_record next;
        next.writer = owner_of(at);
        next.append = at;
        next.claims.push_back(
            {replica_resource(endpoint_id(fmt::format("engine-{:05}", at)))});
        result.push_back(next);
    }
    return result;
}

void fill(ownership_table& table, std::vector<control_record> const& records) {
    table.restart(true);
    std::uint64_t offset = 0;
    for (control_record const& each : records) {
        table.apply(log_offset{offset++}, each);
    }
}

capacity_cost table_memory(std::uint32_t resources) {
    std::vector<control_record> const records = make_claims(resources);
    capacity_meter const meter;
    ownership_table table;
    fill(table, records);
    return meter.read(1);
}

capacity_cost record_cost(std::uint32_t resources) {
    ownership_table table;
    fill(table, make_claims(resources));
    constexpr std::uint32_t count = 4'000;
    std::vector<std::string> texts;
    for (std::uint32_t at = 0; at < count; ++at) {
        // The next node takes one resource over, as after a death.
        control_record next;
        next.writer = owner_of(at + 1);
        next.append = at;
        next.claims.push_back({replica_resource(
            endpoint_id(fmt::format("engine-{:05}", at % resources)))});
        texts.push_back(encode_control_record(next));
    }
    capacity_meter const meter;
    std::uint64_t offset = resources;
    for (std::string const& each : texts) {
        auto const record = decode_control_record(each);
        table.apply(log_offset{offset++}, *record);
    }
    return meter.read(count);
}

capacity_cost prune_cost(std::uint32_t resources) {
    ownership_table table;
    fill(table, make_claims(resources));
    capacity_meter const meter;
    table.prune(log_offset{0}, node_id("node-0000"));
    return meter.read(1);
}

/// Finding the node that should own one resource.
capacity_cost rank_cost(std::uint32_t live) {
    std::vector<node_id> names;
    for (std::uint32_t at = 0; at < live; ++at) {
        names.emplace_back(fmt::format("node-{:04}", at));
    }
    node_ranking subject;
    subject.set_nodes(names);
    constexpr std::uint32_t count = 2'000;
    std::size_t length = 0;
    capacity_meter const meter;
    for (std::uint32_t at = 0; at < count; ++at) {
        length += subject
                      .first(replica_resource(
                          endpoint_id(fmt::format("engine-{:05}", at))))
                      .str()
                      .size();
    }
    capacity_cost const cost = meter.read(count);
    // Else the loop could be left out as without effect.
    return length == 0 ? capacity_cost{} : cost;
}

} // namespace

void print_ownership_capacity() {
    std::vector<std::uint32_t> const sizes{1'500, 3'000, 6'000, 12'300};
    print_lines("owner-resource", cost_figures::memory, sizes, table_memory);
    print_lines("owner-record", cost_figures::time, sizes, record_cost);
    print_lines("owner-prune", cost_figures::time, sizes, prune_cost);
    print_lines(
        "owner-first-rank", cost_figures::time, {9, 100, 900, 1'900},
        rank_cost);
}

} // namespace camphorpoint::bench
