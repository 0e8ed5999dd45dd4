#pragma once

#include "Core/hash.hpp"

#include <Camphorpoint/Membership>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace camphorpoint::membership_test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr milliseconds step{20};
/// Bytes that UDP over IPv4 adds to a datagram.
inline constexpr std::size_t udp_ip_header_bytes = 28;

/// One node, its traffic in bytes and the log events that it has reported.
struct test_node {
    membership members;
    bool paused = false;
    bool dead = false;
    std::size_t bytes = 0;
    std::vector<event_code> events = {};
};

/// Nodes that exchange datagrams in virtual time. A datagram arrives one step
/// after it was sent.
class network {
public:
    explicit network(std::size_t count, std::size_t domains = 3)
        : domains_(domains) {
        for (std::size_t index = 0; index < count; ++index) {
            list.nodes.push_back(instance(index));
        }
        for (std::size_t index = 0; index < count; ++index) {
            start_node(name(index), 1);
        }
        deliver_instance_list();
    }

    static std::string name(std::size_t index) {
        return "node-" + std::to_string(1'000 + index);
    }

    node_instance instance(std::size_t index) const {
        node_instance result;
        result.id = node_id(name(index));
        result.domain = domain_id("domain-" + std::to_string(index % domains_));
        result.peer_address = "10.0.0.1:" + std::to_string(10'000 + index);
        return result;
    }

    test_node&
    start_node(std::string const& node, std::uint64_t start_time_ms) {
        auto const found =
            std::ranges::find(list.nodes, node_id(node), &node_instance::id);
        std::mt19937_64 const random(hash_text(node, start_time_ms));
        nodes.erase(node);
        test_node fresh{membership({}, *found, start_time_ms, random)};
        return nodes.emplace(node, std::move(fresh)).first->second;
    }

    test_node& at(std::size_t index) { return nodes.at(name(index)); }

    void deliver_instance_list() {
        for (auto& [id, each] : nodes) {
            if (!each.dead && !each.paused) {
                each.members.on_instance_list(list, now);
            }
        }
    }

    void run(duration span) {
        instant const end = now + span;
        while (now < end) {
            now += step;
            deliver();
            for (auto& [id, each] : nodes) {
                if (!each.dead && !each.paused) {
                    each.members.on_tick(now);
                    collect(id, each);
                }
            }
        }
    }

    /// @returns the number of running nodes for which the predicate holds
    std::size_t count(std::function<bool(membership const&)> const& predicate) {
        std::size_t result = 0;
        for (auto const& [id, each] : nodes) {
            if (!each.dead && !each.paused && predicate(each.members)) {
                ++result;
            }
        }
        return result;
    }

    instance_list list;
    std::map<std::string, test_node> nodes;
    instant now{seconds(1'000)};
    /// Whether a datagram from one node to another is lost.
    std::function<bool(std::string const&, std::string const&)> drops_datagram =
        [](std::string const&, std::string const&) {
            return false;
        };

private:
    struct datagram {
        std::string from;
        std::string to;
        std::string bytes;
    };

    void deliver() {
        std::deque<datagram> due_datagrams;
        due_datagrams.swap(in_flight_);
        for (datagram const& each : due_datagrams) {
            auto const to = nodes.find(each.to);
            bool const is_delivered = to != nodes.end() && !to->second.dead &&
                                      !to->second.paused &&
                                      !drops_datagram(each.from, each.to);
            if (is_delivered) {
                to->second.bytes += each.bytes.size() + udp_ip_header_bytes;
                to->second.members.on_datagram(each.bytes, now);
            }
        }
    }

    void collect(std::string const& from, test_node& node) {
        for (membership_action const& each : node.members.take_actions()) {
            if (auto const* event = std::get_if<log_event>(&each)) {
                node.events.push_back(event->code);
                continue;
            }
            send_probe const& send = std::get<send_probe>(each);
            std::string bytes = encode_probe(send.message);
            node.bytes += bytes.size() + udp_ip_header_bytes;
            longest_datagram = std::max(longest_datagram, bytes.size());
            in_flight_.push_back({from, send.to.str(), std::move(bytes)});
        }
    }

    std::size_t domains_;
    std::deque<datagram> in_flight_;

public:
    std::size_t longest_datagram = 0;
};

} // namespace camphorpoint::membership_test
