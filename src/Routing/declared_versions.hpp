#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorpoint {

/// The versions that the operator has declared for adapters, and the time from
/// which each is mandatory. Until then a request may start on an older version.
class declared_versions {
public:
    /// Adds a declared version.
    /// @param grace how long from now requests may start on an older version
    /// @returns true when it is newer than all known versions of the adapter
    bool declare(adapter_ref const& adapter, instant now, duration grace);

    /// @returns the lowest version on which a request may run now; 0 for any
    std::uint32_t min_version(adapter_id const& adapter, instant now) const;
    /// @returns the newest known version, or nothing when none was declared
    std::optional<std::uint32_t> newest(adapter_id const& adapter) const;
    /// @returns all adapters with their newest versions
    std::vector<adapter_ref> const& all() const noexcept { return all_; }
    /// @returns the sum of the newest versions, which never decreases
    std::uint64_t total() const noexcept { return total_; }

private:
    struct declared_version {
        std::uint32_t version = 0;
        instant effective_at;
    };
    struct adapter_versions {
        /// In ascending order: the newest version that has taken effect, and
        /// those that have not yet.
        std::vector<declared_version> declared;
        /// Index of the adapter in `all_`.
        std::size_t index = 0;
    };

    std::unordered_map<adapter_id, adapter_versions> versions_;
    std::vector<adapter_ref> all_;
    std::uint64_t total_ = 0;
};

} // namespace camphorpoint
