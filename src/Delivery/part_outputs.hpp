#pragma once

#include "Core/time.hpp"
#include "Delivery/request_fingerprint.hpp"

#include <cstddef>
#include <unordered_map>

namespace camphorpoint {

/// When this node last saw output of a replica on each prompt part, for the
/// parts with the latest output. Each call takes constant time, whatever parts
/// callers name.
class part_outputs {
public:
    /// Records output on a part.
    void record(request_fingerprint part, instant now);
    /// @returns true when output on the part was seen at that time or later
    bool seen_since(request_fingerprint part, instant time) const;
    /// @returns number of entries
    std::size_t size() const noexcept { return newer_.size() + older_.size(); }

private:
    using times = std::unordered_map<request_fingerprint, instant>;
    static bool
    contains_since(times const& in, request_fingerprint part, instant time);

    /// When the newer map is full it becomes the older one, whose entries are
    /// dropped.
    times newer_;
    times older_;
};

} // namespace camphorpoint
