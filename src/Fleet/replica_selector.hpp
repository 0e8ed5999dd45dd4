#pragma once

#include "Core/software_key.hpp"
#include "Core/time.hpp"
#include "Fleet/fleet.hpp"
#include "Fleet/replica_cost.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace camphorpoint {

/// A brittle replica whose controller has granted a request no slot.
struct slot_denial {
    endpoint_id replica;
    /// When a slot should be free for the request.
    instant until;
};

/// What a request requires of the replica that it is sent to.
struct replica_requirements {
    service_id service;
    /// Empty for a plain service.
    adapter_id adapter;
    /// Empty when any model will do.
    model_id model;
    /// Lowest version of the adapter that may be used.
    std::uint32_t min_version = 0;
    /// The software version that the replica must run; any when not set.
    std::optional<software_key> software;
    /// Replicas to which this request has already been sent.
    std::vector<endpoint_id> tried_replicas;
    /// The latest denials of a slot for this request.
    std::vector<slot_denial> slot_denials;
    /// What the request asks of the replica that runs it.
    request_work work;
    /// Any number. Requests with different numbers consider the replicas in a
    /// different order, so that nodes with the same view do not all choose the
    /// same one.
    std::uint64_t random_sample = 0;
    /// How long the request may still run; replicas that shut down sooner are
    /// left out.
    duration expected_time{0};
    /// A replica that owes answers usually sends something within this time;
    /// nothing while that is not known.
    std::optional<duration> longest_usual_silence;
    /// Replicas that have sent nothing since an attempt of this node stalled
    /// there are used only when there is no other.
    bool only_answering = false;
    /// How long the request may wait for a permit of a replica that limits the
    /// rate of its requests.
    duration permit_budget{0};
};

/// Selects replicas for requests. Reads a fleet and changes nothing.
class replica_selector {
public:
    /// @param replicas this node's view of the replicas; must outlive the
    ///                 selector
    explicit replica_selector(fleet& replicas)
        : fleet_(&replicas) {}

    /// @returns true when the replica accepts requests and is what the request
    ///          requires, whether it may be used now or later; an id may come
    ///          to name another service, software version or model
    bool
    suits(replica const& each, replica_requirements const& requirements) const;
    /// @returns the replica that should run the request now: for an adapter the
    ///          one with the lowest cost of a few random replicas on which it
    ///          is resident, for a plain service the one with the lowest cost
    ///          of all; null when no replica can run it
    replica* best(replica_requirements const& requirements, instant now) const;
    /// @returns the replicas that `best` might compare, with those that looked
    ///          full when that makes no more than it compares, and avoided ones
    ///          that the request might try; their usage reports should be fresh
    std::vector<replica*> compared_replicas(
        replica_requirements const& requirements, instant now) const;
    /// @returns the replica at which the adapter should be loaded next: the
    ///          first in the adapter's rendezvous ranking that has not denied a
    ///          load request lately, preferring replicas that have the adapter
    ///          cached or a slot free; null when there is none
    replica* next_preferred_replica(
        replica_requirements const& requirements, instant now) const;
    /// @returns the replica among those that have lately denied a load request
    ///          for the adapter at which it would be ready first; null when
    ///          there is none
    replica* soonest_ready_replica(
        replica_requirements const& requirements, instant now) const;
    /// @returns the time until the first permit of the replicas that could run
    ///          the request and have denied one because of their rate limit;
    ///          nothing when there is none
    std::optional<duration>
    permit_wait(replica_requirements const& requirements, instant now) const;
    /// @returns the time until the first of the replicas that could run the
    ///          request, but rest or have denied it a slot, may be used;
    ///          nothing when there is none
    std::optional<duration>
    usable_wait(replica_requirements const& requirements, instant now) const;
    /// @returns how full the replica is, by the time that its batch and its
    ///          unprocessed prompts take there; 1 is full
    static double utilization(replica const& each, instant now);
    /// The same, by the usage that the replica's controller has counted.
    /// @param slots number of the replica's slots
    /// @param speed how long the replica takes for work
    static double utilization(
        replica_usage const& total, unsigned slots,
        replica_speed const& speed = {});
    /// @returns true when the replica has capacity for one more request that
    ///          waits for a load there
    static bool has_capacity(
        replica_usage const& total, unsigned slots,
        replica_speed const& speed = {});
    /// @returns the number of eligible replicas on which the adapter is
    ///          resident
    std::size_t
    resident_count(replica_requirements const& requirements, instant now) const;
    /// @returns true when new requests may be sent to at least one replica of
    ///          the service that runs the required software version
    bool any_accepts_requests(replica_requirements const& requirements) const;
    /// @returns the mean utilization of the service's replicas that accept
    ///          requests and are not suspected
    double mean_utilization(service_id const& service, instant now) const;

private:
    bool satisfies(
        replica const& each, replica_requirements const& requirements) const;
    bool is_eligible(
        replica const& each, replica_requirements const& requirements,
        instant now) const;
    /// The same, whether the replica may be used now or later.
    bool may_become_eligible(
        replica const& each, replica_requirements const& requirements,
        instant now) const;
    /// @returns when the rest of the replica ends and a slot should be free for
    ///          the request; in the past when neither is waited for
    static instant
    usable_from(replica const& each, replica_requirements const& requirements);
    /// @returns the replicas of which some may satisfy the requirements
    std::vector<replica*> const&
    possible_replicas(replica_requirements const& requirements) const;
    /// The replicas among which a request has to choose.
    struct choice {
        std::vector<replica*> compared;
        /// Those that the request might try, when their controllers permit it.
        std::vector<replica*> avoided;
    };
    /// What the choice is for: a query of the replicas' usage, or the send.
    enum class choice_step : unsigned char { ask, send };
    choice make_choice(
        replica_requirements const& requirements, choice_step step,
        instant now) const;
    std::vector<replica*>
    candidates(replica_requirements const& requirements, instant now) const;

    fleet* fleet_;
};

} // namespace camphorpoint
