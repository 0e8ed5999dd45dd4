#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace camphorpoint::internal {

/// A load request that was sent to the owner of the weight store.
struct pending_load_request {
    instant requested;
    /// Time of the last transmission to the owner of the weight store.
    instant last_sent;
    /// Number of the permission; 0 if there is none yet.
    std::uint64_t permission = 0;
    instant valid_until;
    /// True if no request waited for the load when it was last sent.
    bool prefetch = false;
};

/// The load requests of one replica for which no load command has been sent
/// yet.
using load_request_table = std::map<adapter_ref, pending_load_request>;

} // namespace camphorpoint::internal
