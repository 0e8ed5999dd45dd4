#pragma once

#include "Limits/concurrency_limiter.hpp"
#include "Limits/endpoint_health.hpp"
#include "Limits/service_messages.hpp"
#include "Limits/service_queue.hpp"

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace camphorpoint {

/// Sends requests to the replicas of one plain service, within each replica's
/// limit; queues a few for a short time and refuses the rest at once, as not
/// run. A request is decided here alone: it is dispatched, refused or
/// withdrawn, whichever comes first, so a refused one cannot run later.
/// Reference for the choice of replica: M. Mitzenmacher, "The power of two
/// choices in randomized load balancing", IEEE TPDS 12(10), 2001.
/// @tparam Limiter how many requests a replica gets at a time
template <concurrency_limiter Limiter>
class service_router {
public:
    /// @param settings bounds of the queue
    /// @param health   when a replica is skipped
    /// @param own      this node's failure domain, whose replicas are preferred
    /// @param seed     of the choices between replicas
    service_router(
        service_settings const& settings, health_settings const& health,
        domain_id own, std::uint64_t seed)
        : settings_(settings)
        , health_(health)
        , own_(std::move(own))
        , random_(seed) {}

    /// Puts the list of replicas in force.
    void set_endpoints(std::vector<service_endpoint> const& list, instant now);
    /// Takes a request; a dispatch or a refusal follows.
    void submit(service_request const& request, instant now);
    /// Takes a queued request back, as when its caller went away.
    /// @returns true when it was queued: it does not run
    bool withdraw(request_id const& id);
    /// A dispatched request has ended.
    void on_finished(request_id const& id, service_outcome how, instant now);
    /// Refuses what has waited long enough, dispatches what can go.
    void on_tick(instant now);

    /// @returns what is to be done, in order; empties the list
    std::vector<service_action> take_actions() {
        return std::exchange(actions_, {});
    }
    /// @returns requests queued
    std::size_t queued() const noexcept { return queue_.size(); }
    /// @returns requests in flight on a replica
    std::uint32_t in_flight(endpoint_id const& id) const {
        auto const found = replicas_.find(id);
        return found == replicas_.end() ? 0 : found->second.in_flight;
    }
    /// @returns requests that a replica gets at a time; 0 when not listed
    double limit(endpoint_id const& id) const {
        auto const found = replicas_.find(id);
        return found == replicas_.end() ? 0.0 : found->second.limiter.limit();
    }

private:
    /// A replica elsewhere is chosen when it is emptier by this share of its
    /// limit.
    static constexpr double away_penalty = 0.25;
    static constexpr double time_weight = 0.05;

    /// A limit below one allows one at a time; the total holds it down.
    static std::uint32_t whole(double limit) noexcept {
        return std::max(1U, static_cast<std::uint32_t>(limit));
    }

    struct replica {
        service_endpoint facts;
        Limiter limiter;
        endpoint_health health{};
        std::uint32_t in_flight = 0;
    };
    struct running {
        endpoint_id endpoint;
        instant since;
    };

    bool can_take(replica const& each, instant now) const {
        return !each.facts.leaving && each.health.usable(health_, now) &&
               each.in_flight < whole(each.limiter.limit());
    }
    double score(replica const& each) const {
        double const share =
            (each.in_flight + 1.0) / std::max(1.0, each.limiter.limit());
        return each.facts.domain == own_ ? share : share + away_penalty;
    }
    replica* choose(endpoint_id const& avoid_endpoint, instant now);
    void dispatch(service_request const& request, duration queued, instant now);
    void refuse(
        request_id const& id, reason why,
        std::chrono::milliseconds retry_after);
    void queue_or_refuse(service_request const& request, instant now);
    void drain(instant now);
    reason
    problem_of(internal::service_queue::item const& each, instant now) const;
    duration service_time() const;
    std::uint32_t total_limit(instant now) const;
    std::uint32_t total_in_flight() const;
    bool any_usable(instant now) const;
    std::chrono::milliseconds come_back(instant now) const;

    service_settings settings_;
    health_settings health_;
    domain_id own_;
    std::mt19937_64 random_;
    std::map<endpoint_id, replica> replicas_;
    std::map<request_id, running> running_;
    internal::service_queue queue_;
    double mean_time_ = 0.0;
    std::vector<service_action> actions_;
};

template <concurrency_limiter Limiter>
void service_router<Limiter>::set_endpoints(
    std::vector<service_endpoint> const& list, instant now) {
    // One that is gone keeps its count while requests run on it, so that it
    // does not seem empty when the lagging list shows it again.
    for (auto& [id, each] : replicas_) {
        each.facts.leaving = true;
    }
    for (service_endpoint const& facts : list) {
        auto const [place, is_new] = replicas_.try_emplace(
            facts.id, replica{facts, Limiter(facts.capacity)});
        replica& each = place->second;
        if (!is_new && each.facts.capacity != facts.capacity) {
            each.limiter = Limiter(facts.capacity);
        }
        each.facts = facts;
    }
    std::erase_if(replicas_, [](auto const& each) {
        return each.second.facts.leaving && each.second.in_flight == 0;
    });
    drain(now);
}

template <concurrency_limiter Limiter>
void service_router<Limiter>::submit(
    service_request const& request, instant now) {
    if (!any_usable(now)) {
        refuse(request.id, reason::no_endpoint, come_back(now));
        return;
    }
    // With nothing in flight no new measurement comes: after a slow spell all
    // would be refused for good by an old mean. So one goes through then.
    bool const idle = running_.empty();
    if (!idle && now + service_time() > request.deadline) {
        refuse(request.id, reason::deadline_unreachable, come_back(now));
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
    auto const place = static_cast<std::size_t>(request.how_urgent);
    if (wait > settings_.max_queue_time[place]) {
        refuse(request.id, reason::limit_reached, come_back(now));
        return;
    }
    if (now + wait + service_time() > request.deadline) {
        refuse(request.id, reason::deadline_unreachable, come_back(now));
        return;
    }
    if (queue_.size() >= settings_.max_queued) {
        auto const worse = queue_.pop_below(request.how_urgent);
        refuse(
            worse ? worse->request.id : request.id, reason::queue_full,
            come_back(now));
        if (!worse) {
            return;
        }
    }
    queue_.push(request, now);
}

template <concurrency_limiter Limiter>
bool service_router<Limiter>::withdraw(request_id const& id) {
    auto const taken = queue_.extract_if(
        [&id](auto const& each) { return each.request.id == id; });
    return !taken.empty();
}

template <concurrency_limiter Limiter>
void service_router<Limiter>::on_finished(
    request_id const& id, service_outcome how, instant now) {
    auto const found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    running const ended = found->second;
    running_.erase(found);
    replica& each = replicas_.at(ended.endpoint);
    duration const latency = now - ended.since;
    bool const dropped =
        how == service_outcome::overloaded || how == service_outcome::timed_out;
    if (how == service_outcome::completed || dropped) {
        each.limiter.on_sample({latency, each.in_flight, dropped});
    }
    if (how == service_outcome::completed) {
        double const time = static_cast<double>(latency.count());
        double const weight = mean_time_ == 0.0 ? 1.0 : time_weight;
        mean_time_ += (time - mean_time_) * weight;
        each.health.on_success();
    } else if (
        how == service_outcome::not_sent || how == service_outcome::failed) {
        each.health.on_failure(health_, now, random_);
    } else {
        each.health.on_inconclusive();
    }
    --each.in_flight;
    if (each.facts.leaving && each.in_flight == 0) {
        replicas_.erase(ended.endpoint);
    }
    drain(now);
}

template <concurrency_limiter Limiter>
void service_router<Limiter>::on_tick(instant now) {
    auto const late = queue_.extract_if([this, now](auto const& each) {
        return problem_of(each, now) != reason::none;
    });
    for (auto const& each : late) {
        refuse(each.request.id, problem_of(each, now), come_back(now));
    }
    drain(now);
}

template <concurrency_limiter Limiter>
reason service_router<Limiter>::problem_of(
    internal::service_queue::item const& each, instant now) const {
    if (now + service_time() > each.request.deadline) {
        return reason::deadline_unreachable;
    }
    auto const place = static_cast<std::size_t>(each.request.how_urgent);
    bool const long_wait = now - each.since > settings_.max_queue_time[place];
    return long_wait ? reason::limit_reached : reason::none;
}

template <concurrency_limiter Limiter>
auto service_router<Limiter>::choose(
    endpoint_id const& avoid_endpoint, instant now) -> replica* {
    if (total_in_flight() >= total_limit(now)) {
        return nullptr;
    }
    std::vector<replica*> free;
    replica* avoided = nullptr;
    for (auto& [id, each] : replicas_) {
        if (!can_take(each, now)) {
            continue;
        }
        if (id == avoid_endpoint) {
            avoided = &each;
        } else {
            free.push_back(&each);
        }
    }
    if (free.empty()) {
        return avoided;
    }
    std::uniform_int_distribution<std::size_t> any(0, free.size() - 1);
    replica* const first = free[any(random_)];
    replica* const second = free[any(random_)];
    return score(*second) < score(*first) ? second : first;
}

template <concurrency_limiter Limiter>
void service_router<Limiter>::dispatch(
    service_request const& request, duration queued, instant now) {
    replica* const chosen = choose(request.avoid_endpoint, now);
    assert(chosen != nullptr && "a replica must be free before a dispatch");
    ++chosen->in_flight;
    chosen->health.on_dispatch(health_);
    running_[request.id] = {chosen->facts.id, now};
    actions_.push_back(service_dispatch{request.id, chosen->facts.id, queued});
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
        reason const problem = problem_of(*next, now);
        if (problem != reason::none) {
            refuse(next->request.id, problem, come_back(now));
            continue;
        }
        dispatch(next->request, now - next->since, now);
    }
}

template <concurrency_limiter Limiter>
duration service_router<Limiter>::service_time() const {
    return mean_time_ == 0.0 ? duration(settings_.initial_service_time)
                             : duration(static_cast<std::int64_t>(mean_time_));
}

template <concurrency_limiter Limiter>
std::uint32_t service_router<Limiter>::total_limit(instant now) const {
    double total = 0.0;
    for (auto const& [id, each] : replicas_) {
        if (!each.facts.leaving && each.health.usable(health_, now)) {
            total += each.limiter.limit();
        }
    }
    return whole(total);
}

/// What still runs on leaving replicas takes nothing from the others.
template <concurrency_limiter Limiter>
std::uint32_t service_router<Limiter>::total_in_flight() const {
    std::uint32_t total = 0;
    for (auto const& [id, each] : replicas_) {
        total += each.facts.leaving ? 0 : each.in_flight;
    }
    return total;
}

template <concurrency_limiter Limiter>
bool service_router<Limiter>::any_usable(instant now) const {
    return std::ranges::any_of(replicas_, [this, now](auto const& each) {
        return !each.second.facts.leaving &&
               each.second.health.usable(health_, now);
    });
}

template <concurrency_limiter Limiter>
std::chrono::milliseconds
service_router<Limiter>::come_back(instant now) const {
    duration const backlog = service_time() * queue_.size() / total_limit(now);
    auto const time =
        std::chrono::duration_cast<std::chrono::milliseconds>(backlog);
    return std::max(settings_.min_retry_after, time);
}

} // namespace camphorpoint
