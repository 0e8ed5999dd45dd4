#pragma once

#include "Core/time.hpp"
#include "Delivery/request_fingerprint.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace camphorpoint {

/// How often the latest attempts of this node were broken off by a crash before
/// their first output, as a baseline for the crashes under one prompt part.
/// While many replicas crash, for whatever reason, sound requests are broken
/// off again and again.
class crash_baseline {
public:
    /// Records an attempt.
    /// @param parts   the shared parts of its prompt
    /// @param crashed the replica that crashed before the first output; nothing
    ///                when there was output
    void record(
        std::vector<request_fingerprint> const& parts,
        std::optional<std::uint64_t> crashed, instant now);
    /// @param part     attempts with this part are not taken into account
    /// @param replicas nor are crashes of these replicas, which the part may
    ///                 have caused
    /// @param since    nor are attempts that ended earlier
    /// @returns how many crashes in succession, without any output, the part
    ///          must have had since then so that they are no coincidence
    std::size_t crashes_to_confirm(
        request_fingerprint part, std::vector<std::uint64_t> const& replicas,
        instant since) const;
    /// @returns true when a crash broke off an attempt after that time
    bool crashed_since(instant time) const;

private:
    struct attempt {
        std::vector<request_fingerprint> parts;
        std::optional<std::uint64_t> crashed;
        instant at;
    };

    std::deque<attempt> attempts_;
};

} // namespace camphorpoint
