#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace camphorpoint {

/// The probes that wait for an answer.
class pending_probes {
public:
    /// Begins a direct probe.
    /// @param target whom
    /// @param indirect_at when others are asked to probe
    /// @param deadline when the probe has failed
    /// @returns the probe's sequence number
    std::uint32_t
    start(node_id const& target, instant indirect_at, instant deadline);
    /// The target was heard: its probes are closed.
    void complete(node_id const& target);

    /// A probe whose direct answer is late.
    struct late_probe {
        std::uint32_t sequence = 0;
        node_id target;
    };
    /// @returns probes whose helpers should be asked now, each once
    std::vector<late_probe> drain_late(instant now);
    /// @returns targets whose probes have failed; these are closed
    std::vector<node_id> drain_failed(instant now);
    /// @returns true when the target is being probed
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
