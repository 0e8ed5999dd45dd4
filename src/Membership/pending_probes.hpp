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
    /// @param ask_at when others are asked to probe
    /// @param end_at when the probe has failed
    /// @returns the probe's sequence number
    std::uint32_t begin(node_id const& target, instant ask_at, instant end_at);
    /// The target was heard: its probes are closed.
    void heard(node_id const& target);

    /// A probe whose direct answer is late.
    struct late_probe {
        std::uint32_t sequence = 0;
        node_id target;
    };
    /// @returns probes whose helpers should be asked now, each once
    std::vector<late_probe> take_late(instant now);
    /// @returns targets whose probes have failed; these are closed
    std::vector<node_id> take_failed(instant now);
    /// @returns true when the target is being probed
    bool probing(node_id const& target) const;

private:
    struct open_probe {
        node_id target;
        instant ask_at;
        instant end_at;
        bool asked = false;
    };

    std::map<std::uint32_t, open_probe> open_;
    std::uint32_t last_ = 0;
};

} // namespace camphorpoint
