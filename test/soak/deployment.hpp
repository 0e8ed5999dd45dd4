#pragma once

#include "Settings/node_settings.hpp"
#include "test/soak/child_process.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace camphorpoint::soak {

/// What a run is made of.
struct soak_settings {
    /// Folder of the programs.
    std::string programs;
    /// Folder for settings, logs and the ledger.
    std::string work;
    std::uint64_t seed = 1;
    unsigned nodes = 3;
    /// Replicas of the plain service; the model service has half as many.
    unsigned replicas = 4;
    unsigned callers = 24;
    unsigned seconds = 10;
    /// How many of a hundred requests meet a fault at their replica.
    unsigned replica_faults = 10;
    /// How many of a hundred requests meet each fault of a link.
    unsigned link_faults = 4;
};

/// A node and the links to its replicas.
struct node_processes {
    ip_address callers;
    ip_address readiness;
    std::unique_ptr<child_process> node;
    std::unique_ptr<child_process> link;
};

/// Real processes on one loopback address: the store, replicas, nodes, and for
/// each node a process that carries its connections to all replicas.
class deployment {
public:
    /// Writes the files of the processes.
    explicit deployment(soak_settings const& settings);
    /// Starts all processes.
    void start();
    /// Ends all processes.
    void end();
    /// @returns the configuration with this version
    static std::string configuration(unsigned version);
    /// @returns the names of the processes that have ended unasked
    std::vector<std::string> crashed() const;

    std::vector<node_processes> nodes;
    std::vector<std::unique_ptr<child_process>> replicas;
    ip_address store;
    std::string ledger;

private:
    std::unique_ptr<child_process>
    process(std::string const& name, std::vector<std::string> words) const;
    void add_store();
    void add_replica(unsigned number);
    void add_node(unsigned number);
    ip_address at(unsigned port) const;

    soak_settings settings_;
    std::string host_;
    std::unique_ptr<child_process> store_process_;
};

} // namespace camphorpoint::soak
