#include "membership_simulation.hpp"

#include "Core/hash.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace camphorpoint::simulation {

namespace {

membership_settings gossip_settings(std::size_t quota_units) {
    membership_settings settings;
    settings.source = member_source::gossip;
    settings.quota_unit_count = quota_units;
    return settings;
}

node_instance instance(std::size_t index, std::size_t domains) {
    node_instance result;
    result.id = node_id(fmt::format(
        "10.{}.{}.{}:7380", index % domains, index / 200, index % 200));
    result.domain = domain_id(fmt::format("domain-{}", index % domains));
    result.peer_address = result.id.str();
    // Every tenth node has a larger CPU share.
    result.processor_percent = index % 10 == 0 ? 50 : 12;
    return result;
}

} // namespace

simulated_node::simulated_node(
    node_instance node, std::uint64_t start_time_ms, std::size_t quota_units)
    : self(std::move(node))
    , members(
          gossip_settings(quota_units), self, start_time_ms,
          std::mt19937_64(hash_text(self.id.str(), start_time_ms))) {}

membership_simulation::membership_simulation(
    std::size_t count, std::size_t domains, std::size_t unit_holder_count,
    std::uint64_t seed)
    : unit_holder_count_(unit_holder_count)
    , random_(seed) {
    for (std::size_t index = 0; index < count; ++index) {
        nodes.emplace_back(instance(index, domains), 1, unit_holder_count);
        index_by_address_[nodes.back().self.id.str()] = index;
    }
    for (simulated_node& each : nodes) {
        assign_quota_units(each);
    }
    traffic_since_ = now;
}

void membership_simulation::assign_quota_units(simulated_node& to) {
    std::vector<node_id> holders;
    for (std::size_t index = 0;
         index < std::min(unit_holder_count_, nodes.size()); ++index) {
        holders.push_back(nodes[index].self.id);
        to.members.add_known_node(holders.back(), now);
    }
    std::vector<std::size_t> own;
    for (std::size_t unit = 0; unit < unit_holder_count_; ++unit) {
        if (holders[unit % holders.size()] == to.self.id) {
            own.push_back(unit);
        }
    }
    to.members.on_quota_units_assigned(own, std::move(holders), now);
}

void membership_simulation::restart(
    std::size_t index, std::uint64_t start_time_ms) {
    node_instance const self = nodes[index].self;
    nodes[index] = simulated_node(self, start_time_ms, unit_holder_count_);
    assign_quota_units(nodes[index]);
}

void membership_simulation::run(
    duration span, std::function<void()> const& each_step) {
    instant const end = now + span;
    while (now < end) {
        now += step;
        deliver();
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (!nodes[index].down) {
                nodes[index].members.on_tick(now);
                collect(index);
            }
        }
        each_step();
    }
}

bool membership_simulation::is_delivered(datagram const& each) {
    domain_id const& from = nodes[each.from].self.domain;
    domain_id const& to = nodes[each.to].self.domain;
    bool const isolated = from != to && (isolated_domains.contains(from) ||
                                         isolated_domains.contains(to));
    bool const lost =
        std::uniform_real_distribution<double>(0, 1)(random_) < loss;
    return !nodes[each.to].down && !isolated && !lost;
}

void membership_simulation::deliver() {
    std::deque<datagram> due_datagrams;
    due_datagrams.swap(in_flight_);
    for (datagram const& each : due_datagrams) {
        if (is_delivered(each)) {
            simulated_node& to = nodes[each.to];
            to.received_bytes += each.bytes.size() + udp_ip_header_bytes;
            to.members.on_datagram(each.bytes, now);
        }
    }
}

void membership_simulation::collect(std::size_t from) {
    simulated_node& node = nodes[from];
    for (membership_action const& each : node.members.take_actions()) {
        auto const* const send = std::get_if<send_probe>(&each);
        if (send == nullptr) {
            continue;
        }
        auto const to = index_by_address_.find(send->address);
        if (to == index_by_address_.end()) {
            continue;
        }
        std::string bytes = encode_probe(send->message);
        std::size_t const size = bytes.size() + udp_ip_header_bytes;
        ++node.sent.datagrams;
        node.sent.bytes += size;
        bool const is_cross_domain =
            nodes[to->second].self.domain != node.self.domain;
        node.sent.cross_domain_bytes += is_cross_domain ? size : 0;
        in_flight_.push_back({from, to->second, std::move(bytes)});
    }
}

std::size_t membership_simulation::nodes_with_full_view() const {
    auto const running_count = std::ranges::count_if(
        nodes, [](auto const& each) { return !each.down; });
    return static_cast<std::size_t>(
        std::ranges::count_if(nodes, [&](simulated_node const& each) {
            auto const known_count =
                std::ranges::count_if(nodes, [&](simulated_node const& other) {
                    auto const state = each.members.state_of(other.self.id);
                    return !other.down && state && *state != node_state::dead;
                });
            return !each.down && known_count == running_count;
        }));
}

double membership_simulation::sum_of_quota_shares() const {
    double sum = 0;
    for (simulated_node const& each : nodes) {
        if (!each.down) {
            sum += each.members.quota_share(now);
        }
    }
    return sum;
}

void membership_simulation::reset_traffic() {
    for (simulated_node& each : nodes) {
        each.sent = {};
        each.received_bytes = 0;
    }
    traffic_since_ = now;
}

double membership_simulation::peak_node_bytes_per_s() const {
    std::size_t max_bytes = 0;
    for (simulated_node const& each : nodes) {
        max_bytes = std::max(max_bytes, each.sent.bytes + each.received_bytes);
    }
    std::chrono::duration<double> const span = now - traffic_since_;
    return static_cast<double>(max_bytes) / span.count();
}

} // namespace camphorpoint::simulation
