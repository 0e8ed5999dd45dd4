#include "capacity_line.hpp"
#include "capacity_parts.hpp"

#include <Camphorpoint/Membership>

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace camphorpoint::bench {

namespace {

using std::chrono::seconds;

/// UDP over IPv4 adds so many bytes to a datagram.
constexpr std::size_t header_bytes = 28;
constexpr std::uint32_t domains = 35;

node_instance make_node(std::uint32_t number) {
    node_instance result;
    result.id = node_id(fmt::format("node-{}", 1'000 + number));
    result.domain = domain_id(fmt::format("domain-{}", number % domains));
    result.peer_address = fmt::format("10.0.0.1:{}", 10'000 + number);
    return result;
}

endpoint_instance make_endpoint(std::uint32_t number) {
    endpoint_instance result;
    result.id = endpoint_id(fmt::format("engine-{:05}", number));
    result.domain = domain_id(fmt::format("domain-{}", number % domains));
    result.model = model_id("base-7b");
    result.address = fmt::format("10.0.1.1:{}", 10'000 + number);
    return result;
}

instance_list make_list(std::uint32_t nodes, std::uint32_t endpoints) {
    instance_list list;
    for (std::uint32_t at = 0; at < nodes; ++at) {
        list.nodes.push_back(make_node(at));
    }
    for (std::uint32_t at = 0; at < endpoints; ++at) {
        list.endpoints.push_back(make_endpoint(at));
    }
    return list;
}

/// All nodes in one process, on virtual time.
class probe_network {
public:
    explicit probe_network(std::uint32_t nodes)
        : bytes_(nodes) {
        instance_list const list = make_list(nodes, 0);
        for (std::uint32_t at = 0; at < nodes; ++at) {
            nodes_.push_back(std::make_unique<membership>(
                membership_settings{}, list.nodes[at], 1,
                std::mt19937_64(at + 1)));
            nodes_.back()->on_instance_list(list, now_);
        }
    }

    void run(duration span) {
        constexpr std::chrono::milliseconds step{50};
        for (instant const end = now_ + span; now_ < end;) {
            now_ += step;
            deliver();
            for (std::uint32_t at = 0; at < nodes_.size(); ++at) {
                if (!dead(at)) {
                    nodes_[at]->on_tick(now_);
                    collect(at);
                }
            }
        }
    }

    /// Ends the first so many nodes of one failure domain.
    void kill(std::uint32_t count) { dead_ = count; }

    /// @returns mean bytes sent and received by a node since the last call
    double take_bytes() {
        std::size_t total = 0;
        for (std::size_t& each : bytes_) {
            total += each;
            each = 0;
        }
        return static_cast<double>(total) / static_cast<double>(nodes_.size());
    }

private:
    struct datagram {
        std::uint32_t to;
        std::string text;
    };

    bool dead(std::uint32_t which) const {
        return which % domains == 0 && which / domains < dead_;
    }

    void deliver() {
        std::deque<datagram> arriving;
        arriving.swap(under_way_);
        for (datagram const& each : arriving) {
            if (!dead(each.to)) {
                bytes_[each.to] += each.text.size() + header_bytes;
                nodes_[each.to]->on_datagram(each.text, now_);
            }
        }
    }

    void collect(std::uint32_t from) {
        for (membership_action const& each : nodes_[from]->take_actions()) {
            auto const* const send = std::get_if<send_probe>(&each);
            if (send == nullptr) {
                continue;
            }
            constexpr std::size_t prefix = 5;
            auto const to = static_cast<std::uint32_t>(
                std::stoul(send->to.str().substr(prefix)) - 1'000);
            std::string text = encode_probe(send->message);
            bytes_[from] += text.size() + header_bytes;
            under_way_.push_back({to, std::move(text)});
        }
    }

    std::vector<std::unique_ptr<membership>> nodes_;
    std::vector<std::size_t> bytes_;
    std::deque<datagram> under_way_;
    std::uint32_t dead_ = 0;
    instant now_{seconds(1'000)};
};

/// Of one node in one second; bytes on the wire stand in the retained figure.
capacity_cost probe_cost(std::uint32_t nodes, std::uint32_t deaths) {
    probe_network net(nodes);
    net.run(seconds(3));
    net.kill(deaths);
    net.take_bytes();
    constexpr int span = 5;
    capacity_meter const meter;
    net.run(seconds(span));
    capacity_cost cost = meter.read(static_cast<double>(nodes) * span);
    cost.retained_bytes = net.take_bytes() / span;
    return cost;
}

capacity_cost member_memory(std::uint32_t nodes) {
    instance_list const list = make_list(nodes, 0);
    capacity_meter const meter;
    membership subject({}, list.nodes.front(), 1, std::mt19937_64(1));
    subject.on_instance_list(list, instant(seconds(1)));
    subject.take_actions();
    return meter.read(1);
}

capacity_cost endpoint_memory(std::uint32_t endpoints) {
    instance_list const list = make_list(9, endpoints);
    capacity_meter const meter;
    membership subject({}, list.nodes.front(), 1, std::mt19937_64(1));
    subject.on_instance_list(list, instant(seconds(1)));
    subject.take_actions();
    return meter.read(1);
}

capacity_cost list_cost(std::uint32_t endpoints) {
    instance_list const list = make_list(1'900, endpoints);
    membership subject({}, list.nodes.front(), 1, std::mt19937_64(1));
    subject.on_instance_list(list, instant(seconds(1)));
    subject.take_actions();
    constexpr int lists = 5;
    capacity_meter const meter;
    for (int at = 0; at < lists; ++at) {
        subject.on_instance_list(list, instant(seconds(2 + at)));
        subject.take_actions();
    }
    return meter.read(lists);
}

} // namespace

void print_membership_capacity() {
    print_lines(
        "member-node", cost_figures::memory, {225, 475, 950, 1'900},
        member_memory);
    std::vector<std::uint32_t> const endpoints{1'500, 3'000, 6'000, 12'000};
    print_lines(
        "member-endpoint", cost_figures::memory, endpoints, endpoint_memory);
    print_lines("member-list", cost_figures::time, endpoints, list_cost);
    std::vector<std::uint32_t> const nodes{9, 100, 300, 900, 1'900};
    // "retained" is here the bytes sent and received by a node in a second.
    print_lines(
        "member-second-calm", cost_figures::both, nodes,
        [](std::uint32_t count) { return probe_cost(count, 0); });
    print_lines(
        "member-second-death", cost_figures::both, nodes,
        [](std::uint32_t count) { return probe_cost(count, 1); });
    // Of 1,900 nodes; 54 are a failure domain.
    print_lines(
        "member-second-deaths", cost_figures::both, {1, 6, 18, 54},
        [](std::uint32_t deaths) { return probe_cost(1'900, deaths); });
}

} // namespace camphorpoint::bench
