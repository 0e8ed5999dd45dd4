#pragma once

#include "Core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorpoint::testing {

/// How a node decides at which software version a stream goes on.
enum class origin_policy : std::uint8_t {
    /// At any replica.
    any_version,
    /// Only the node that began the stream knows its version.
    beginner_only,
    /// Nodes chosen by a hash of the stream record its version.
    keepers,
    /// The same, and a version counts as single when it has been alone for two
    /// seconds: what a node concludes from a caller that names the whole of its
    /// patience again.
    keepers_and_deadlines,
    /// Every node records the version of every stream.
    all_nodes
};

/// Every replica is replaced by one of another software version, in turn.
struct simulated_release {
    std::chrono::milliseconds at{0};
    std::string to;
    std::chrono::milliseconds gap{500};
    /// Replicas that are replaced, of all.
    double fraction = 1;
};

/// Nodes whose processes are killed and start again without memory.
struct simulated_kill {
    std::size_t first_node = 0;
    std::size_t node_count = 0;
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds down{1'000};
};

/// Nodes whose view of the registry stands still for a while.
struct simulated_registry_cut {
    std::size_t first_node = 0;
    std::size_t node_count = 0;
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds length{0};
};

/// Streams of one service through many nodes, which callers resume.
struct stream_scenario {
    std::size_t nodes = 7;
    std::size_t replicas = 12;
    double streams_per_second = 40;
    /// Fraction of the streams whose connection to the caller breaks once.
    double broken = 0.3;
    /// Callers resume an interrupted stream within this time.
    std::chrono::milliseconds resumed_within{1'500};
    double datagram_loss = 0;
    /// How long the nodes have run before the first stream.
    std::chrono::milliseconds warm_up{10'000};
    std::chrono::milliseconds length{60'000};
    std::vector<simulated_release> releases;
    std::vector<simulated_kill> kills;
    std::vector<simulated_registry_cut> cuts;
    origin_policy policy = origin_policy::keepers;
    std::uint64_t seed = 1;
};

/// Counts of a simulation.
struct stream_trace {
    std::size_t begun = 0;
    /// Streams with events of two software versions.
    std::size_t mixed = 0;
    /// Resumptions at nodes that have run for a while, while two replicas of
    /// the stream's version serve.
    std::size_t resumed = 0;
    /// Those of them that went on.
    std::size_t went_on = 0;
    /// Datagrams that record origins.
    std::size_t record_datagrams = 0;

    double went_on_fraction() const noexcept {
        return resumed == 0 ? 1
                            : static_cast<double>(went_on) /
                                  static_cast<double>(resumed);
    }
};

/// Plays a scenario without a network. Each node sees registry entries up to
/// three seconds late and has its own replica view and origin records. The
/// store keeps the record of a single version, which one node writes.
stream_trace simulate(stream_scenario const& scenario);

} // namespace camphorpoint::testing
