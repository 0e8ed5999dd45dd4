#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace camphorpoint::internal {

/// A load that was asked for at the weight store's owner.
struct pending_load_request {
    instant requested;
    /// When it was last told to the store's owner.
    instant last_sent;
    /// Number of the permission; 0 while there is none.
    std::uint64_t permission = 0;
    instant valid_until;
    /// True when nobody waited at the time of the ask.
    bool prefetch = false;
};

/// The loads that one replica wants and has not ordered yet.
using load_request_table = std::map<adapter_ref, pending_load_request>;

} // namespace camphorpoint::internal
