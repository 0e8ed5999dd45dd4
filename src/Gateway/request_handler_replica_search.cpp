#include "Gateway/request_handler.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// A replica below this load is sent a request at once: its batch still has
/// capacity when other nodes select it at the same time.
constexpr double immediate_load_limit = 0.6;
/// At this load a replica has a queue as long as a quarter of its batch. A
/// further request would miss its latency objective in that queue.
constexpr double max_load = 1.25;
/// From this mean utilization of its replicas on, a service counts as busy:
/// requests do not arrive evenly, so some of its replicas are full.
constexpr double busy_utilization = 0.65;
/// From this load of the best replica that has the adapter on, the adapter is
/// loaded at a second one. An additional load costs time and an adapter slot,
/// and it makes no request faster while capacity is available.
constexpr double replication_load = 0.9;
/// Load requests are repeated at this interval, since datagrams may be lost and
/// lease holders may change.
constexpr milliseconds load_request_interval{300};
/// Fraction of the latency objective for which a request waits for a load. The
/// remaining time is for the replica to process the prompt.
constexpr double load_wait_fraction = 0.75;
/// A request that waits for more than this many objectives was forecast
/// wrongly. It is refused then, while its caller still has time to retry.
constexpr double max_wait_objectives = 1.25;
/// Replicas that one request asks to load its adapter, including the one that
/// has the adapter cached. A higher number would load rare adapters at every
/// replica.
constexpr unsigned max_load_targets = 2;
/// Time that a replica should have to process prompts at a time, including the
/// new prompt. With more, the replica's streams pause for longer than their
/// callers accept, and the latency objective leaves time to wait here. Below
/// `min_prompt_backlog` a long prompt is sent at once, because it would never
/// find a smaller backlog.
constexpr milliseconds max_prompt_backlog{225};
constexpr milliseconds min_prompt_backlog{25};
/// A request is delayed for at most this fraction of its objective. A long
/// prompt needs the remaining time to be processed.
constexpr double max_delay_fraction = 0.45;
constexpr milliseconds delay_poll_interval{15};
/// From this utilization of the best replica that has the adapter on, an
/// additional load is as urgent as a first load.
constexpr double urgent_replication_utilization = 0.4;
/// The node that counts a replica's requests answers within a few milliseconds.
/// Its answer is not worth a longer wait than a fiftieth of the tightest
/// latency objective of a stream.
constexpr milliseconds utilization_query_timeout{15};
/// From this utilization of the best replica that has the adapter on, prompts
/// queue there for longer than the pauses that callers accept.
constexpr double queueing_utilization = 0.8;
/// A replica whose utilization exceeds the mean by less than this counts as no
/// fuller than the others.
constexpr double min_utilization_gap = 0.05;

} // namespace

// Guards against refusals after a store outage: the registry entries of the
// service's replicas expired during the outage, and the replicas, which are
// running, have yet to write them again.
bool request_handler::awaits_registry_entries(instant now) const {
    return !state_->selector.any_accepts_requests(need_) &&
           state_->registry_refilling(now) &&
           now < arrived_at_ + route_->objective;
}

std::optional<replica*> request_handler::select_plain_replica(instant now) {
    delayed_ = false;
    need_.permit_budget = permit_budget(now);
    replica* const best = state_->selector.best(need_, now);
    if (best == nullptr && awaits_registry_entries(now)) {
        return std::nullopt;
    }
    delayed_ = best == nullptr && awaits_replica(now);
    if (delayed_) {
        return std::nullopt;
    }
    if (best == nullptr && refuse_limited(now)) {
        return nullptr;
    }
    if (best == nullptr) {
        reason_ = no_replica_reason();
        return nullptr;
    }
    // A plain service queues a few requests itself, and refuses further ones
    // when it is full.
    return best;
}

void request_handler::request_load_at(replica* preferred, bool urgent) {
    if (preferred == nullptr) {
        return;
    }
    bool const first_request = load_target_ != preferred->record.id;
    load_target_ = preferred->record.id;
    std::uint32_t const version =
        state_->versions.newest(need_.adapter).value_or(0);
    load_priority const kind =
        urgent ? load_priority::demand : load_priority::prefetch;
    load_targets_ += urgent && first_request ? 1 : 0;
    messenger_->request_load(
        *preferred, {need_.adapter, version}, kind, first_request,
        wait_budget(boot_clock::now()));
}

duration request_handler::wait_budget(instant now) const {
    instant const in_time =
        search_started_at_ + objective_fraction(load_wait_fraction);
    return std::min(in_time, deadline_ - min_attempt_time) - now;
}

duration request_handler::objective_fraction(double part) const {
    std::chrono::duration<double> const objective = route_->objective;
    return std::chrono::duration_cast<duration>(objective * part);
}

void request_handler::request_additional_load(
    replica const& best, instant now) {
    std::size_t const replicas =
        state_->replicas.of_service(need_.service).size();
    std::size_t const resident = state_->selector.resident_count(need_, now);
    std::size_t const target_count =
        state_->demand.target_replica_count(need_.adapter, replicas, now);
    // An additional load distributes nothing while the replicas that have the
    // adapter are no fuller than the others. Each node estimates the demand
    // from its own few requests, and acting on the highest of many estimates
    // would load the adapter at every replica.
    double const mean = state_->selector.mean_utilization(need_.service, now);
    bool const fuller =
        replica_selector::utilization(best, now) > mean + min_utilization_gap;
    // When prompts queue at every replica that has the adapter, one more
    // replica helps however small this adapter's part of the work is: another
    // adapter may be the one that fills them.
    bool const queues =
        replica_selector::utilization(best, now) >= queueing_utilization &&
        state_->demand.warrants_replication(need_.adapter, replicas, now);
    if (fuller && resident > 0 && (resident < target_count || queues)) {
        // While the replicas that have the adapter still have capacity, the
        // additional load yields to loads that requests wait for.
        bool const urgent = replica_selector::utilization(best, now) >=
                            urgent_replication_utilization;
        request_load_at(
            state_->selector.next_preferred_replica(need_, now), urgent);
    }
}

replica* request_handler::select_preferred_replica(instant now) {
    // A replica that was requested to load the adapter stays the choice while
    // it can load it: the load may be in progress, and a load at another
    // replica would be redundant.
    replica* const requested = state_->replicas.find(load_target_);
    // A replica that has filled up in the meantime is not kept, because it
    // would cause a refusal.
    if (requested != nullptr && requested->accepts_requests() &&
        !requested->resting(now) && !requested->rate_limit &&
        requested->load_rejection_of(need_.adapter, now) == nullptr &&
        requested->timed_load() < max_load && !requested->distrusted(now)) {
        return requested;
    }
    replica* const next = state_->selector.next_preferred_replica(need_, now);
    replica const* const soonest =
        state_->selector.soonest_ready_replica(need_, now);
    bool const all_asked = next == nullptr || load_targets_ >= max_load_targets;
    if (soonest != nullptr && all_asked) {
        earliest_ready_in_ =
            soonest->load_rejection_of(need_.adapter, now)->ready_at - now;
        return nullptr;
    }
    return next;
}

bool request_handler::should_delay(replica const& at, instant now) const {
    duration const waiting = at.backlog_time(now);
    duration const own = at.prompt_time(demand_.prompt_tokens, now);
    return waiting > min_prompt_backlog && waiting + own > max_prompt_backlog &&
           now < arrived_at_ + objective_fraction(max_delay_fraction);
}

// Guards against refusals while each replica that has the adapter is suspected
// and no other one has it ready in time. A replica that was silent for a moment
// answers again long before its suspicion ends.
replica* request_handler::select_suspected_replica(instant now) {
    replica* const best = state_->selector.best(need_, now);
    bool const usable = best != nullptr && !need_.adapter.empty() &&
                        best->distrusted(now) && best->timed_load() < max_load;
    return usable ? best : nullptr;
}

std::optional<replica*> request_handler::select_adapter_replica(instant now) {
    delayed_ = false;
    need_.permit_budget = duration::zero();
    std::uint32_t const newest =
        state_->versions.newest(need_.adapter).value_or(0);
    need_.min_version = newest;
    replica* best = state_->selector.best(need_, now);
    delayed_ = best == nullptr && awaits_replica(now);
    if (delayed_) {
        request_load_at(
            state_->selector.next_preferred_replica(need_, now), false);
        return std::nullopt;
    }
    std::uint32_t const least =
        state_->versions.min_version(need_.adapter, now);
    if (best == nullptr && least < newest) {
        // The old version serves until the new one is loaded at a replica.
        request_load_at(
            state_->selector.next_preferred_replica(need_, now), true);
        need_.min_version = least;
        best = state_->selector.best(need_, now);
    }
    bool const healthy = best != nullptr && !best->distrusted(now);
    if (healthy && best->yields_to_others(now)) {
        // The adapter is resident at limited replicas only.
        request_load_at(
            state_->selector.next_preferred_replica(need_, now), false);
        return best;
    }
    if (healthy && best->usage_known(now) &&
        best->timed_load() < immediate_load_limit) {
        request_additional_load(*best, now);
        delayed_ = should_delay(*best, now);
        if (delayed_) {
            return std::nullopt;
        }
        return best;
    }
    replica* const preferred = select_preferred_replica(now);
    // While no node is known to count the replica's requests, all nodes send to
    // it without knowing its load. Such a replica is used only when there is no
    // other.
    bool const usage_unknown = healthy && !best->usage_known(now) &&
                               preferred != nullptr &&
                               preferred->usage_known(now) &&
                               now < arrived_at_ + route_->objective / 2;
    if (healthy && !usage_unknown && best->timed_load() < max_load) {
        if (preferred != nullptr &&
            preferred->timed_load() < best->timed_load() &&
            best->timed_load() >= replication_load) {
            request_load_at(preferred, false);
        }
        return best;
    }
    // While the service has capacity, the controller of the preferred replica
    // decides, because the load known at this node is older. When all replicas
    // are busy, a further load would delay every request, and capacity becomes
    // available elsewhere no sooner.
    bool const service_busy = state_->selector.mean_utilization(
                                  need_.service, now) >= busy_utilization;
    if (preferred != nullptr &&
        (preferred->timed_load() < max_load || !service_busy)) {
        request_load_at(preferred, true);
        return std::nullopt;
    }
    if (replica* const last = select_suspected_replica(now)) {
        return last;
    }
    if (earliest_ready_in_ && preferred == nullptr) {
        reason_ = "load-takes-too-long";
        return nullptr;
    }
    bool const none = best == nullptr && preferred == nullptr;
    if (none) {
        // The adapter can't be loaded elsewhere, so the request may wait for a
        // permit.
        need_.permit_budget = permit_budget(now);
        best = state_->selector.best(need_, now);
        if (best != nullptr) {
            return best;
        }
        if (refuse_limited(now)) {
            return nullptr;
        }
    }
    if (none && awaits_registry_entries(now)) {
        return std::nullopt;
    }
    if (none && now < arrived_at_ + route_->objective &&
        state_->selector.any_accepts_requests(need_)) {
        // All loaded adapters are in use right now, and some of these uses end
        // soon.
        return std::nullopt;
    }
    reason_ = none ? no_replica_reason() : "all-full";
    return nullptr;
}

// Guards against a wait for a message that has already arrived. When this node
// controls the preferred replica itself, or takes its lease holder for absent,
// the rejection is known before the request starts to wait, and no later
// message repeats it. Without this check a refusal took 300 ms for each
// replica.
bool request_handler::load_already_rejected(instant now) const {
    replica const* const preferred = state_->replicas.find(load_target_);
    return preferred != nullptr &&
           preferred->load_rejection_of(need_.adapter, now) != nullptr;
}

// A request that has failed once, or that may not be sent again, would lose
// more by a failed probe.
bool request_handler::may_probe() const {
    return idempotent_ && attempts_ == 0 && !state_->shutdown.begun();
}

asio::awaitable<void> request_handler::refresh_utilization() {
    auto const caller = caller_;
    instant const began = boot_clock::now();
    instant const until = began + utilization_query_timeout;
    auto const queried = messenger_->query_replica_usage(
        state_->selector.compared_replicas(need_, began), need_.adapter,
        may_probe(), began);
    auto const unanswered = [&](endpoint_id const& id) {
        replica const* const at = state_->replicas.find(id);
        return at != nullptr && at->usage_received_at < began;
    };
    while (std::ranges::any_of(queried, unanswered) && !caller->gone &&
           boot_clock::now() < until) {
        adapter_id adapter = need_.adapter;
        co_await state_->waiters.wait(std::move(adapter), until);
    }
}

asio::awaitable<replica*> request_handler::find_replica() {
    auto const caller = caller_;
    co_await refresh_utilization();
    instant const began = boot_clock::now();
    search_started_at_ = began;
    load_targets_ = 0;
    earliest_ready_in_.reset();
    load_target_ = endpoint_id();
    instant const wait_until = std::min(
        deadline_ - min_attempt_time,
        began + objective_fraction(max_wait_objectives));
    bool waited = false;
    bool refreshed = false;
    while (!caller->gone) {
        instant const now = boot_clock::now();
        if (now >= deadline_ - min_attempt_time) {
            reason_ = "too-late";
            co_return nullptr;
        }
        if (stall_has_ended() || barred_by_shutdown(now) ||
            select_relay(false, now)) {
            co_return nullptr;
        }
        endpoint_id const previous_target = load_target_;
        std::optional<replica*> const found = need_.adapter.empty()
                                                  ? select_plain_replica(now)
                                                  : select_adapter_replica(now);
        if (!found && load_target_ != previous_target &&
            load_already_rejected(now)) {
            continue;
        }
        if (found && (!waited || *found == nullptr || refreshed)) {
            if (waited) {
                state_->metrics.observe_load_wait(now - began);
            }
            co_return *found;
        }
        if (found) {
            // All waiting requests wake up at the same time, so the known
            // utilization is outdated.
            co_await refresh_utilization();
            refreshed = true;
            continue;
        }
        refreshed = false;
        if (now >= wait_until) {
            reason_ = "load-takes-too-long";
            co_return select_suspected_replica(now);
        }
        if (!waited && !delayed_) {
            state_->log_event(log_line(event_code::request_waits)
                                  .with("id", demand_.id.str())
                                  .with("adapter", need_.adapter.str())
                                  .with("at", load_target_.str()));
        }
        waited = waited || !delayed_;
        adapter_id adapter = need_.adapter;
        instant const poll_at =
            delayed_ ? now + delay_poll_interval : now + load_request_interval;
        co_await state_->waiters.wait(
            std::move(adapter), std::min(wait_until, poll_at));
    }
    reason_ = "caller-gone";
    co_return nullptr;
}

} // namespace camphorpoint
