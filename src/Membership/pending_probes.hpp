#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace camphorpoint {

/// The probes that have not been acknowledged yet.
class pending_probes {
public:
    /// Registers a direct probe.
    /// @param target the probed node
    /// @param indirect_at when indirect probes are due if no ack has arrived
    /// @param deadline when the probe counts as failed
    /// @returns the probe's sequence number; never 0
    std::uint32_t
    start(node_id const& target, instant indirect_at, instant deadline);
    /// Removes all probes of a node from which a message was received.
    void complete(node_id const& target);

    /// A probe whose direct ack is late.
    struct late_probe {
        std::uint32_t sequence = 0;
        node_id target;
    };
    /// @returns the probes for which indirect probes are due; each is returned
    /// once and stays pending
    std::vector<late_probe> drain_late(instant now);
    /// Removes the probes whose deadline has passed.
    /// @returns their targets
    std::vector<node_id> drain_failed(instant now);
    /// @returns true if a probe of this node is pending
    bool contains(node_id const& target) const;

private:
    struct pending_probe {
        node_id target;
        instant indirect_at;
        instant deadline;
        bool indirect_requested = false;
    };

    std::map<std::uint32_t, pending_probe> probes_;
    std::uint32_t last_sequence_ = 0;
};

} // namespace camphorpoint
