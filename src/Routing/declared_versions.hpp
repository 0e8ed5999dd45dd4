#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorpoint {

/// The versions that the operator has named for adapters, and from when on each
/// binds: a request may begin on an older one for a while.
class declared_versions {
public:
    /// A version was named.
    /// @param grace requests may begin on an older one for so long from now
    /// @returns true when it is newer than all that are known
    bool declare(adapter_ref const& adapter, instant now, duration grace);

    /// @returns the version that a request must run on at least, by now; 0 for
    ///          any
    std::uint32_t min_version(adapter_id const& adapter, instant now) const;
    /// @returns the newest version that is known, nothing when none was named
    std::optional<std::uint32_t> newest(adapter_id const& adapter) const;
    /// @returns adapters with their newest versions
    std::vector<adapter_ref> const& all() const noexcept { return all_; }
    /// @returns the sum of the newest versions, which only rises
    std::uint64_t total() const noexcept { return total_; }

private:
    struct declared_version {
        std::uint32_t version = 0;
        instant effective_at;
    };
    struct adapter_versions {
        /// In the order of their versions: the newest that binds, and those
        /// that do not yet.
        std::vector<declared_version> declared;
        /// Where its newest stands among all.
        std::size_t index = 0;
    };

    std::unordered_map<adapter_id, adapter_versions> versions_;
    std::vector<adapter_ref> all_;
    std::uint64_t total_ = 0;
};

} // namespace camphorpoint
