#pragma once

#include "Limits/concurrency_limiter.hpp"
#include "Limits/endpoint_health.hpp"
#include "Limits/endpoint_notice.hpp"
#include "Limits/service_messages.hpp"
#include "Limits/service_queue.hpp"

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace camphorpoint {

/// Dispatches requests to the replicas of one plain service, within the
/// concurrency limit of each replica. Requests above the limits are queued for
/// a short time, within bounds; the others are refused immediately as not run.
/// Each request gets exactly one result here: it is dispatched, refused or
/// withdrawn, whichever comes first, so that a refused request cannot run
/// later.
///
/// Reference for the choice of replica: M. Mitzenmacher, "The power of two
/// choices in randomized load balancing", IEEE TPDS 12(10), 2001.
///
/// @tparam Limiter limits the concurrent requests to a replica
template <concurrency_limiter Limiter>
class service_router {
public:
    /// @param settings   bounds of the queue
    /// @param health     when a replica is skipped
    /// @param own_domain this node's failure domain, whose replicas are
    ///                   preferred
    /// @param seed       seed of the random choices between replicas
    service_router(
        service_settings const& settings, health_settings const& health,
        domain_id own_domain, std::uint64_t seed)
        : settings_(settings)
        , health_(health)
        , own_domain_(std::move(own_domain))
        , random_(seed) {}

    /// Replaces the list of replicas.
    void
    set_endpoints(std::vector<service_endpoint> const& endpoints, instant now);
    /// Accepts a request. A dispatch or a refusal follows, unless the request
    /// is withdrawn first.
    void submit(service_request const& request, instant now);
    /// Removes a queued request, for instance after its caller disconnected.
    /// @returns true when the request was queued and therefore does not run
    bool withdraw(request_id const& id);
    /// Reports that a dispatched request has finished.
    /// @param notice what the endpoint's answer says of its next requests
    void on_finished(
        request_id const& id, service_outcome outcome,
        endpoint_notice const& notice, instant now);
    /// Refuses queued requests that have waited too long or can no longer meet
    /// their deadline, and dispatches those that a replica has capacity for.
    void on_tick(instant now);

    /// Removes the pending actions.
    /// @returns the actions, in the order in which they are to be performed
    std::vector<service_action> take_actions() {
        return std::exchange(actions_, {});
    }
    /// @returns how many requests are queued
    std::size_t queued() const noexcept { return queue_.size(); }
    /// @returns how many requests are in flight on a replica
    std::uint32_t in_flight(endpoint_id const& id) const {
        auto const found = replicas_.find(id);
        return found == replicas_.end() ? 0 : found->second.in_flight;
    }
    /// @returns the limit of concurrent requests to a replica; 0 when the
    ///          replica is not listed
    double limit(endpoint_id const& id) const {
        auto const found = replicas_.find(id);
        return found == replicas_.end() ? 0.0 : found->second.limiter.limit();
    }

private:
    /// A replica in another failure domain is preferred only when its
    /// utilization is lower by more than this fraction of its limit.
    static constexpr double remote_domain_penalty = 0.25;
    /// Weight of a new sample in the mean service time.
    static constexpr double service_time_weight = 0.05;

    /// Rounds a limit down to whole requests, but not below 1. Where the limits
    /// of single replicas are below 1, the limit over all replicas bounds the
    /// requests in flight.
    static std::uint32_t slot_count(double limit) noexcept {
        return std::max(1U, static_cast<std::uint32_t>(limit));
    }

    struct replica {
        service_endpoint endpoint;
        Limiter limiter;
        endpoint_health health{};
        endpoint_availability availability{};
        std::uint32_t in_flight = 0;
    };
    struct running_request {
        endpoint_id endpoint;
        instant dispatched_at;
    };

    bool usable(replica const& each, instant now) const {
        return !each.endpoint.leaving && each.health.usable(health_, now) &&
               each.availability.accepts_requests(now);
    }
    bool has_capacity(replica const& each, instant now) const {
        return usable(each, now) &&
               each.in_flight < slot_count(each.limiter.limit());
    }
    double score(replica const& each) const {
        double const utilization =
            (each.in_flight + 1.0) / std::max(1.0, each.limiter.limit());
        return each.endpoint.domain == own_domain_
                   ? utilization
                   : utilization + remote_domain_penalty;
    }
    replica* choose(endpoint_id const& avoid_endpoint, instant now);
    void dispatch(service_request const& request, duration queued, instant now);
    void refuse(
        request_id const& id, reason why,
        std::chrono::milliseconds retry_after);
    void queue_or_refuse(service_request const& request, instant now);
    void drain(instant now);
    reason refusal_reason(
        internal::service_queue::entry const& each, instant now) const;
    duration service_time() const;
    std::uint32_t total_limit(instant now) const;
    std::uint32_t total_in_flight() const;
    bool any_usable(instant now) const;
    std::chrono::milliseconds suggested_retry_after(instant now) const;
    /// @returns the time until the first replica has rested, zero when one does
    ///          not rest
    std::chrono::milliseconds shortest_rest(instant now) const;

    service_settings settings_;
    health_settings health_;
    domain_id own_domain_;
    std::mt19937_64 random_;
    std::map<endpoint_id, replica> replicas_;
    std::map<request_id, running_request> running_requests_;
    internal::service_queue queue_;
    double mean_service_time_ = 0.0;
    std::vector<service_action> actions_;
};

template <concurrency_limiter Limiter>
void service_router<Limiter>::set_endpoints(
    std::vector<service_endpoint> const& endpoints, instant now) {
    // A replica that is no longer listed keeps its entry while requests run on
    // it. Otherwise it would seem idle if an outdated list contained it again.
    for (auto& [id, each] : replicas_) {
        each.endpoint.leaving = true;
    }
    for (service_endpoint const& endpoint : endpoints) {
        auto const [found, is_new] = replicas_.try_emplace(
            endpoint.id, replica{endpoint, Limiter(endpoint.capacity)});
        replica& each = found->second;
        if (!is_new && each.endpoint.capacity != endpoint.capacity) {
            each.limiter = Limiter(endpoint.capacity);
        }
        each.endpoint = endpoint;
    }
    std::erase_if(replicas_, [](auto const& each) {
        return each.second.endpoint.leaving && each.second.in_flight == 0;
    });
    drain(now);
}

template <concurrency_limiter Limiter>
void service_router<Limiter>::submit(
    service_request const& request, instant now) {
    if (!any_usable(now)) {
        refuse(request.id, reason::no_endpoint, suggested_retry_after(now));
        return;
    }
    // While nothing is in flight, no service time is measured: after a slow
    // period, the old mean would cause all requests to be refused permanently.
    // Therefore a request is admitted then whatever the mean is.
    bool const idle = running_requests_.empty();
    if (!idle && now + service_time() > request.deadline) {
        refuse(
            request.id, reason::deadline_unreachable,
            suggested_retry_after(now));
        return;
    }
    if (queue_.empty() && choose(request.avoid_endpoint, now) != nullptr) {
        dispatch(request, {}, now);
        return;
    }
    queue_or_refuse(request, now);
    drain(now);
}

template <concurrency_limiter Limiter>
void service_router<Limiter>::queue_or_refuse(
    service_request const& request, instant now) {
    std::size_t const ahead = queue_.ahead_of(request.how_urgent) + 1;
    duration const wait = service_time() * ahead / total_limit(now);
    auto const class_index = static_cast<std::size_t>(request.how_urgent);
    if (wait > settings_.max_queue_time[class_index]) {
        refuse(request.id, reason::limit_reached, suggested_retry_after(now));
        return;
    }
    if (now + wait + service_time() > request.deadline) {
        refuse(
            request.id, reason::deadline_unreachable,
            suggested_retry_after(now));
        return;
    }
    if (queue_.size() >= settings_.max_queued) {
        auto const displaced = queue_.pop_less_urgent(request.how_urgent);
        refuse(
            displaced ? displaced->request.id : request.id, reason::queue_full,
            suggested_retry_after(now));
        if (!displaced) {
            return;
        }
    }
    queue_.push(request, now);
}

template <concurrency_limiter Limiter>
bool service_router<Limiter>::withdraw(request_id const& id) {
    auto const removed = queue_.extract_if(
        [&id](auto const& each) { return each.request.id == id; });
    return !removed.empty();
}

template <concurrency_limiter Limiter>
void service_router<Limiter>::on_finished(
    request_id const& id, service_outcome outcome,
    endpoint_notice const& notice, instant now) {
    auto const found = running_requests_.find(id);
    if (found == running_requests_.end()) {
        return;
    }
    running_request const ended = found->second;
    running_requests_.erase(found);
    replica& each = replicas_.at(ended.endpoint);
    each.availability.apply(notice, now);
    duration const latency = now - ended.dispatched_at;
    bool const dropped = outcome == service_outcome::overloaded ||
                         outcome == service_outcome::timed_out;
    if (outcome == service_outcome::completed || dropped) {
        each.limiter.on_sample({latency, each.in_flight, dropped});
    }
    if (outcome == service_outcome::completed) {
        double const time = static_cast<double>(latency.count());
        double const weight =
            mean_service_time_ == 0.0 ? 1.0 : service_time_weight;
        mean_service_time_ += (time - mean_service_time_) * weight;
        each.health.on_success();
    } else if (
        outcome == service_outcome::not_sent ||
        outcome == service_outcome::failed) {
        each.health.on_failure(health_, now, random_);
    } else {
        each.health.on_inconclusive();
    }
    --each.in_flight;
    if (each.endpoint.leaving && each.in_flight == 0) {
        replicas_.erase(ended.endpoint);
    }
    drain(now);
}

template <concurrency_limiter Limiter>
void service_router<Limiter>::on_tick(instant now) {
    auto const expired = queue_.extract_if([this, now](auto const& each) {
        return refusal_reason(each, now) != reason::none;
    });
    for (auto const& each : expired) {
        refuse(
            each.request.id, refusal_reason(each, now),
            suggested_retry_after(now));
    }
    drain(now);
}

template <concurrency_limiter Limiter>
reason service_router<Limiter>::refusal_reason(
    internal::service_queue::entry const& each, instant now) const {
    if (now + service_time() > each.request.deadline) {
        return reason::deadline_unreachable;
    }
    auto const class_index = static_cast<std::size_t>(each.request.how_urgent);
    bool const waited_too_long =
        now - each.queued_at > settings_.max_queue_time[class_index];
    return waited_too_long ? reason::limit_reached : reason::none;
}

template <concurrency_limiter Limiter>
auto service_router<Limiter>::choose(
    endpoint_id const& avoid_endpoint, instant now) -> replica* {
    if (total_in_flight() >= total_limit(now)) {
        return nullptr;
    }
    std::vector<replica*> available;
    replica* avoided = nullptr;
    for (auto& [id, each] : replicas_) {
        if (!has_capacity(each, now)) {
            continue;
        }
        if (id == avoid_endpoint) {
            avoided = &each;
        } else {
            available.push_back(&each);
        }
    }
    if (available.empty()) {
        return avoided;
    }
    std::uniform_int_distribution<std::size_t> pick(0, available.size() - 1);
    replica* const first = available[pick(random_)];
    replica* const second = available[pick(random_)];
    return score(*second) < score(*first) ? second : first;
}

template <concurrency_limiter Limiter>
void service_router<Limiter>::dispatch(
    service_request const& request, duration queued, instant now) {
    replica* const chosen = choose(request.avoid_endpoint, now);
    assert(
        chosen != nullptr &&
        "a dispatch needs a replica with available capacity");
    ++chosen->in_flight;
    chosen->health.on_dispatch(health_);
    running_requests_[request.id] = {chosen->endpoint.id, now};
    actions_.push_back(
        service_dispatch{request.id, chosen->endpoint.id, queued});
}

template <concurrency_limiter Limiter>
void service_router<Limiter>::refuse(
    request_id const& id, reason why, std::chrono::milliseconds retry_after) {
    actions_.push_back(service_refusal{id, why, retry_after});
}

template <concurrency_limiter Limiter>
void service_router<Limiter>::drain(instant now) {
    while (!queue_.empty() && choose({}, now) != nullptr) {
        auto const next = queue_.pop();
        reason const refusal = refusal_reason(*next, now);
        if (refusal != reason::none) {
            refuse(next->request.id, refusal, suggested_retry_after(now));
            continue;
        }
        dispatch(next->request, now - next->queued_at, now);
    }
}

template <concurrency_limiter Limiter>
duration service_router<Limiter>::service_time() const {
    return mean_service_time_ == 0.0
               ? duration(settings_.initial_service_time)
               : duration(static_cast<std::int64_t>(mean_service_time_));
}

template <concurrency_limiter Limiter>
std::uint32_t service_router<Limiter>::total_limit(instant now) const {
    double total = 0.0;
    for (auto const& [id, each] : replicas_) {
        if (usable(each, now)) {
            total += each.limiter.limit();
        }
    }
    return slot_count(total);
}

/// Requests that still run on leaving replicas are not counted: they use no
/// capacity of the other replicas.
template <concurrency_limiter Limiter>
std::uint32_t service_router<Limiter>::total_in_flight() const {
    std::uint32_t total = 0;
    for (auto const& [id, each] : replicas_) {
        total += each.endpoint.leaving ? 0 : each.in_flight;
    }
    return total;
}

template <concurrency_limiter Limiter>
bool service_router<Limiter>::any_usable(instant now) const {
    return std::ranges::any_of(replicas_, [this, now](auto const& each) {
        return usable(each.second, now);
    });
}

template <concurrency_limiter Limiter>
std::chrono::milliseconds
service_router<Limiter>::shortest_rest(instant now) const {
    std::optional<duration> shortest;
    for (auto const& [id, each] : replicas_) {
        if (!each.endpoint.leaving && !each.availability.leaving()) {
            duration const rest = each.availability.rest_remaining(now);
            shortest = std::min(shortest.value_or(rest), rest);
        }
    }
    return std::chrono::ceil<std::chrono::milliseconds>(
        shortest.value_or(duration::zero()));
}

template <concurrency_limiter Limiter>
std::chrono::milliseconds
service_router<Limiter>::suggested_retry_after(instant now) const {
    duration const backlog = service_time() * queue_.size() / total_limit(now);
    auto const time =
        std::chrono::duration_cast<std::chrono::milliseconds>(backlog);
    return std::max({settings_.min_retry_after, time, shortest_rest(now)});
}

} // namespace camphorpoint
