#pragma once

#include "Core/time.hpp"
#include "Fleet/fleet.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace camphorpoint {

/// What a request asks of the replica that it is sent to.
struct replica_requirements {
    service_id service;
    /// Empty for a plain service.
    adapter_id adapter;
    /// Empty when any model does.
    model_id model;
    /// Older versions of the adapter won't do.
    std::uint32_t min_version = 0;
    /// Replicas that this request has been at.
    std::vector<endpoint_id> tried_replicas;
    /// Any number: requests with other numbers look at other replicas first, so
    /// that nodes with the same view do not all send to the same one.
    std::uint64_t random_sample = 0;
    /// The request may still run for so long: replicas that are gone sooner
    /// are left out.
    duration expected_time{0};
};

/// Picks replicas for requests. Reads a fleet, changes nothing.
class replica_selector {
public:
    /// @param replicas what is believed; must outlive the choice
    explicit replica_selector(fleet& replicas)
        : fleet_(&replicas) {}

    /// @returns the replica that should run the request now: for an adapter the
    ///          less loaded of two that hold it, for a plain service the one
    ///          that should answer first; null when none can
    replica* best(replica_requirements const& requirements, instant now) const;
    /// @returns the replicas that `best` compares: word of their loads should
    ///          be fresh
    std::vector<replica*> compared_replicas(
        replica_requirements const& requirements, instant now) const;
    /// @returns the replica that should be made to hold the adapter next: the
    ///          first in the adapter's own order that has not turned requests
    ///          away just now; null when there is none
    replica* next_preferred_replica(
        replica_requirements const& requirements, instant now) const;
    /// @returns of the replicas that turned the adapter away just now the one
    ///          where it would be ready first; null when there is none
    replica* soonest_ready_replica(
        replica_requirements const& requirements, instant now) const;
    /// @returns how full the replica is, by its batch and by what it has to
    ///          read; 1 is full
    static double utilization(replica const& each, instant now);
    /// The same, by the count of the node that orders for the replica.
    static double utilization(replica_usage const& total, unsigned slots);
    /// @returns true when a further request that waits for a load may wait for
    ///          one there
    static bool has_capacity(replica_usage const& total, unsigned slots);
    /// @returns how many open replicas hold the adapter
    std::size_t
    resident_count(replica_requirements const& requirements, instant now) const;
    /// @returns true when new requests may be sent to some replica
    bool any_accepts_requests(service_id const& service) const;
    /// @returns how crowded the open replicas of a service are in the mean
    double mean_utilization(service_id const& service, instant now) const;

private:
    bool satisfies(
        replica const& each, replica_requirements const& requirements) const;
    bool is_eligible(
        replica const& each, replica_requirements const& requirements,
        instant now) const;
    double cost(
        replica const& each, replica_requirements const& requirements,
        double mean, instant now) const;
    std::vector<replica*>
    candidates(replica_requirements const& requirements, instant now) const;

    fleet* fleet_;
};

} // namespace camphorpoint
