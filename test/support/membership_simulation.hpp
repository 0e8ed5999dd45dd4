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

/// Step of the virtual time, and the delay of each datagram. It is longer than
/// the delay between two failure domains of a region, which is a few
/// milliseconds.
inline constexpr std::chrono::milliseconds step{20};
/// Bytes that UDP over IPv4 adds to a datagram.
inline constexpr std::size_t udp_ip_header_bytes = 28;

/// Traffic that a node has sent.
struct sent_traffic {
    std::size_t datagrams = 0;
    std::size_t bytes = 0;
    /// Part of `bytes` that was sent to other failure domains.
    std::size_t cross_domain_bytes = 0;
};

/// One node with its membership.
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

/// Many nodes and the datagrams between them, in virtual time and without a
/// network: delay, loss, network partitions and restarts.
class membership_simulation {
public:
    /// @param count number of nodes, all started at the same time
    /// @param domains number of failure domains, to which the nodes are
    /// assigned in turn
    /// @param unit_holder_count number of nodes that the platform names to all
    /// nodes as holders of quota units; also the number of units
    /// @param seed of the random loss of datagrams
    membership_simulation(
        std::size_t count, std::size_t domains, std::size_t unit_holder_count,
        std::uint64_t seed = 7);

    /// Advances the virtual time by `span`. `each_step` is called after each
    /// step.
    void run(
        duration span, std::function<void()> const& each_step = [] {});
    /// Restarts the process of a node; its state is lost.
    void restart(std::size_t index, std::uint64_t start_time_ms);
    /// Gives a node the holders of quota units and its own units.
    void assign_quota_units(simulated_node& to);

    /// @returns the number of running nodes that know all running nodes
    std::size_t nodes_with_full_view() const;
    /// @returns the sum of the fractions of a common limit that the running
    /// nodes may use
    double sum_of_quota_shares() const;
    /// @returns bytes per second that the busiest node has sent and received
    /// since `reset_traffic`
    double peak_node_bytes_per_s() const;
    void reset_traffic();

    std::vector<simulated_node> nodes;
    instant now{std::chrono::seconds(1'000)};
    /// Fraction of the datagrams that are lost.
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
