#pragma once

#include "Core/software_key.hpp"
#include "Core/time.hpp"
#include "Routing/route_table.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace camphorpoint {

/// Identifies to which services the streaming routes lead, the same on every
/// node that has the same routes.
enum class route_fingerprint : std::uint64_t {};

/// Decides whether all streams that callers may still resume at a service
/// began there, as far as routes decide it: a route may lead to another service
/// by the time at which a stream is resumed.
class route_history {
public:
    /// @param memory how long callers may resume a stream
    explicit route_history(duration memory)
        : memory_(memory) {}

    /// Records that the routes have changed.
    /// @param before the routes until now; those of the first change are empty
    /// @param after  the routes from now on
    void note_change(
        route_table const& before, route_table const& after, instant now);
    /// Records what a node that has run for longer knows: all streams of the
    /// service that callers may resume began there while routes were like this.
    void adopt(service_id const& service, route_fingerprint routes) {
        adopted_[service] = routes;
    }
    /// Records that no node has served before this one started.
    void adopt_first_start() noexcept { first_start_ = true; }
    /// @param versions of the service's replicas
    /// @returns the versions that have written the streams which callers may
    ///          resume at the service
    service_versions limit(
        service_versions versions, service_id const& service,
        instant now) const;
    /// @returns the fingerprint of the routes as they are now
    route_fingerprint fingerprint() const noexcept { return fingerprint_; }

private:
    using change_times = std::unordered_map<service_id, instant>;

    bool observed(instant now) const;
    bool is_recent(
        change_times const& times, service_id const& service,
        instant now) const;
    bool knows_origin(service_id const& service, instant now) const;

    duration memory_;
    bool first_start_ = false;
    std::optional<instant> began_;
    route_fingerprint fingerprint_{};
    /// When a service was last given requests that another one got before.
    change_times moved_at_;
    /// When a service was last given a new route that may have led elsewhere
    /// before this node started. Nodes that have run for longer know.
    change_times unsure_at_;
    /// When a route was last removed.
    std::optional<instant> removed_at_;
    std::unordered_map<service_id, route_fingerprint> adopted_;
};

} // namespace camphorpoint
