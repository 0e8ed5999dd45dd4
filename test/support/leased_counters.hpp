#pragma once

#include <Camphorpoint/ReplicaControl>
#include <Camphorpoint/Teams>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace camphorpoint::testing {

/// Nodes that lose their connections to the store and keep those to each other.
/// In each of several outages the node that counts is one of them.
struct store_loss {
    /// Part of the nodes, drawn anew for each outage.
    double nodes = 0;
    std::chrono::seconds from{20};
    std::chrono::milliseconds length{9'000};
    /// Outages in direct succession.
    unsigned outages = 1;
};

/// The nodes of which one at a time holds the lease of a team's partition and
/// counts the team's usage: their leases, what each knows of the holder, and
/// the store that assigns the partition.
class leased_counters {
public:
    /// @param lost_datagrams part of the messages between nodes that is lost
    leased_counters(
        store_loss const& loss, unsigned nodes, double lost_datagrams,
        instant begin, std::uint64_t seed);

    /// Plays what happens until now.
    void advance(instant now);
    /// Asks the node that the asking one takes for the holder.
    /// @param asking index of the asking node
    /// @returns nothing when it does not answer
    std::optional<usage_decision>
    count(std::size_t asking, usage_question const& question, usage_cap cap);

private:
    struct node {
        explicit node(lease_times times)
            : leases(times) {}
        partition_leases leases;
        usage_counter counter;
        std::size_t holder = 0;
        /// The latest changes of the holder that this node knows of.
        std::array<std::optional<instant>, 2> changes;
        instant renew_at;
        instant read_holder_at = instant::max();
        bool has_store = true;
    };

    double fraction() { return std::uniform_real_distribution<>()(random_); }
    void step();
    void connect_nodes();
    void assign();
    void renew(std::size_t index);
    void set_holder(node& at, std::size_t holder);
    void send_claim(std::size_t holder, std::uint64_t token);
    void send_status();

    lease_times times_;
    store_loss loss_;
    double lost_datagrams_;
    instant begin_;
    instant now_;
    std::mt19937_64 random_;
    std::vector<node> nodes_;
    /// The holder by the store's records, and when its lease ends there.
    std::size_t owner_ = 0;
    instant owner_until_;
    std::uint64_t generation_ = 1;
    std::uint64_t log_position_ = 0;
    instant status_at_;
    instant last_store_answer_;
    std::optional<unsigned> outage_;
};

} // namespace camphorpoint::testing
