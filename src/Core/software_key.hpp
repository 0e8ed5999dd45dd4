#pragma once

#include "Core/hash.hpp"
#include "Core/ids.hpp"

#include <cstdint>
#include <optional>

namespace camphorpoint {

/// Identifies a software version of replicas in messages between nodes.
enum class software_key : std::uint64_t {};

/// @returns the key of a version, the same on every node
inline software_key make_software_key(software_version const& version) {
    return software_key{hash_text(version.str())};
}

/// What one node knows of the software versions that have written the streams
/// of a service.
enum class version_knowledge : std::uint8_t {
    /// It has seen no replica, or its view of the replicas is old.
    none,
    /// It has seen one version, for less time than streams may be resumed.
    seen,
    /// It has seen one version alone for as long as streams may be resumed.
    observed,
    /// The store states that this version was alone before the node started,
    /// and the node has seen no other.
    recorded,
    /// It has seen several versions.
    several
};

/// The software versions of a service as one node knows them.
struct service_versions {
    version_knowledge knowledge = version_knowledge::none;
    /// Set when one version has been seen.
    software_key software{};

    /// @returns the only version that can have written a stream that callers
    ///          may still resume; nothing when there may be others
    std::optional<software_key> only() const noexcept {
        bool const alone = knowledge == version_knowledge::observed ||
                           knowledge == version_knowledge::recorded;
        return alone ? std::optional(software) : std::nullopt;
    }
};

} // namespace camphorpoint
