#pragma once

#include <Camphorpoint/Membership>

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorpoint::simulation {

/// Virtual time goes on by this. It is also how long a datagram takes: more
/// than between two domains of a region, which is a few milliseconds.
inline constexpr std::chrono::milliseconds step{20};
/// UDP over IPv4 adds so many bytes to a datagram.
inline constexpr std::size_t udp_ip_header_bytes = 28;

/// What a node has sent.
struct sent_traffic {
    std::size_t datagrams = 0;
    std::size_t bytes = 0;
    /// Of those, into another failure domain.
    std::size_t cross_domain_bytes = 0;
};

/// One entry node: the decision objects that talk to other nodes.
struct simulated_node {
    simulated_node(
        node_instance node, std::uint64_t start_time_ms,
        std::size_t quota_units);

    node_instance self;
    membership members;
    bool down = false;
    sent_traffic sent;
    std::size_t received_bytes = 0;
};

/// Many entry nodes and what they say to each other, on virtual time and
/// without a network: delay, loss, cut domains and restarts.
class membership_simulation {
public:
    /// @param count   nodes, all started at once
    /// @param domains failure domains, nodes in turn
    /// @param listed  how many of them the platform names to all, as holders of
    ///                as many partitions
    /// @param seed    of which datagrams get lost
    membership_simulation(
        std::size_t count, std::size_t domains, std::size_t unit_holder_count,
        std::uint64_t seed = 7);

    /// Goes on; `each_step` is called after each step.
    void run(
        duration span, std::function<void()> const& each_step = [] {});
    /// The process of a node starts anew and knows nothing.
    void restart(std::size_t index, std::uint64_t start_time_ms);
    /// Names the holders to a node, and the partitions that it holds.
    void assign_quota_units(simulated_node& to);

    /// @returns how many running nodes know all running nodes
    std::size_t nodes_with_full_view() const;
    /// @returns the parts of a common limit that running nodes take for theirs,
    ///          added up
    double sum_of_quota_shares() const;
    /// @returns bytes a second that the busiest node has sent and received
    ///          since `reset_traffic`
    double peak_node_bytes_per_s() const;
    void reset_traffic();

    std::vector<simulated_node> nodes;
    instant now{std::chrono::seconds(1'000)};
    /// Part of the datagrams that get lost.
    double loss = 0;
    /// Failure domains that are cut off from the others.
    std::set<domain_id> isolated_domains;

private:
    struct datagram {
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;
    };

    void deliver();
    void collect(std::size_t from);
    bool is_delivered(datagram const& each);

    std::size_t unit_holder_count_;
    std::unordered_map<std::string, std::size_t> index_by_address_;
    std::deque<datagram> in_flight_;
    std::mt19937_64 random_;
    instant traffic_since_;
};

} // namespace camphorpoint::simulation
