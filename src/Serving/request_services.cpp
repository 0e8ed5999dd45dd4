#include "Serving/request_services.hpp"

#include "Core/hash.hpp"
#include "Placement/rendezvous.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <variant>
#include <vector>

namespace camphorpoint {

namespace {

/// An answer with a longer silence of its endpoint is logged.
constexpr std::chrono::milliseconds logged_silence{500};

service_outcome service_end_of(attempt_result how) {
    switch (how) {
    case attempt_result::completed:
        return service_outcome::completed;
    case attempt_result::not_sent:
        return service_outcome::not_sent;
    case attempt_result::refused_not_loaded:
    case attempt_result::refused_busy:
        return service_outcome::overloaded;
    case attempt_result::timed_out:
        return service_outcome::timed_out;
    case attempt_result::cancelled:
        return service_outcome::cancelled;
    default:
        return service_outcome::failed;
    }
}

// The request to resume a stream has no body to compute a fingerprint from. It
// runs only at the endpoint where the stream ran before, so it needs none.
std::optional<request_fingerprint> fingerprint_of(live_request const& request) {
    if (request.submitted.body_digest == 0) {
        return std::nullopt;
    }
    return request_fingerprint{combine_hashes(
        hash_text(request.submitted.profile.str()),
        request.submitted.body_digest)};
}

// Returns true when the endpoint answered, whether it accepted or refused.
bool endpoint_answered(attempt_result how) {
    return how == attempt_result::completed ||
           how == attempt_result::refused_busy ||
           how == attempt_result::refused_not_loaded;
}

} // namespace

admission request_services::admit(profile_name const& name, instant now) {
    if (draining_) {
        // The load balancer can send the request to another node immediately.
        return {reason::draining, {}, {}, settings_.requests.retry_after};
    }
    reason const stale = services_.follower.may_serve(now);
    if (stale != reason::none) {
        return {stale, {}, {}, settings_.requests.retry_after};
    }
    configuration const& current = services_.follower.current();
    profile const* const found = current.find(name);
    if (found == nullptr) {
        return {reason::unknown_profile, {}, {}, {}};
    }
    if (found->kind == endpoint_kind::engine) {
        services_.endpoint_selector.on_demand(found->adapter, now);
    }
    return {reason::none, *found, current.next(), {}};
}

// Guards against false suspicion. Requests for one adapter use the same engines
// as a poison request for it, so they are cut off by the crashes it causes and
// are suspected, too. Each suspected request therefore uses an engine of its
// own.
std::optional<endpoint_id> request_services::choose_for_suspected(
    live_request const& request, instant now) const {
    auto const fingerprint = fingerprint_of(request);
    if (!fingerprint || !services_.quarantine.suspected(*fingerprint)) {
        return std::nullopt;
    }
    std::vector<endpoint_id> open;
    for (endpoint_instance const& each : services_.members.live_endpoints()) {
        bool const tried =
            std::ranges::find(request.tried, each.id) != request.tried.end();
        if (each.kind == endpoint_kind::engine &&
            each.model == request.target_profile.model && !tried &&
            accepts_requests(each.id, now)) {
            open.push_back(each.id);
        }
    }
    auto const first = rendezvous_top(to_string(*fingerprint), open, 1);
    return first.empty() ? std::nullopt : std::optional(first.front());
}

route request_services::choose(live_request const& request, instant now) {
    auto chosen = choose_for_suspected(request, now);
    if (!chosen) {
        std::vector<endpoint_id> excluded = request.tried;
        for (auto const& [id, each] : availabilities_) {
            if (!each.accepts_requests(now)) {
                excluded.push_back(id);
            }
        }
        chosen = services_.endpoint_selector.choose(
            request.target_profile.adapter, request.target_profile.model,
            request.target_profile.how_urgent, request.submitted.prefix_hash,
            excluded, now);
    }
    if (!chosen) {
        return {{}, {}, true, reason::no_endpoint, shortest_rest(now)};
    }
    endpoint_instance const* const instance = services_.members.find(*chosen);
    if (instance == nullptr) {
        return {{}, {}, true, reason::no_endpoint, {}};
    }
    if (request.attempt == 1) {
        services_.retries.on_request(
            *chosen, request.submitted.caller_group, now);
    }
    bool const ungranted = may_run_without_grant(*instance, now);
    if (ungranted) {
        ++ungranted_attempts_[*chosen];
    }
    return {*chosen, instance->address, !ungranted, reason::none, {}};
}

// While the log is unreachable and a replica's owner is dead, no node can take
// the replica over and none evicts adapters. A request may therefore use an
// adapter that is resident there. The engine refuses adapters that are not
// resident, and each node uses only its quota of the batch.
bool request_services::may_run_without_grant(
    endpoint_instance const& endpoint, instant now) const {
    resource_id const resource = replica_resource(endpoint.id);
    if (!services_.ownership.fallback_allowed(resource, now)) {
        return false;
    }
    std::size_t const nodes =
        std::max<std::size_t>(1, services_.members.live_nodes().size());
    std::size_t const quota =
        std::max<std::size_t>(1, endpoint.batch_limit / nodes);
    auto const used = ungranted_attempts_.find(endpoint.id);
    return used == ungranted_attempts_.end() || used->second < quota;
}

std::string request_services::address_of(endpoint_id const& endpoint) const {
    endpoint_instance const* const found = services_.members.find(endpoint);
    return found == nullptr ? std::string() : found->address;
}

bool request_services::try_consume_retry(
    live_request const& request, instant now) {
    return services_.retries.try_retry(
        request.endpoint, request.submitted.caller_group, now);
}

bool request_services::send_to_owner(
    endpoint_id const& replica, owner_message const& message, instant /*now*/) {
    node_id const owner = services_.reachable_owner(replica_resource(replica));
    if (owner.empty()) {
        return false;
    }
    std::visit([&](auto const& each) { outbox_.send(owner, each); }, message);
    return true;
}

void request_services::request_key(
    live_request const& request, instant /*now*/) {
    keyed_request new_request;
    new_request.id = request.submitted.id;
    new_request.key = canonical_key(*request.submitted.key);
    new_request.body_digest = request.submitted.body_digest;
    new_request.idempotent = request.target_profile.idempotent;
    new_request.deadline = request.deadline;
    services_.keys.request_permission(new_request, clock_);
}

void request_services::cancel_key_request(
    request_id const& id, instant /*now*/) {
    services_.keys.withdraw(id, clock_);
}

void request_services::on_keyed_request_ended(
    request_id const& id, outcome how, reason why, std::string const& answer,
    instant /*now*/) {
    services_.keys.complete(id, how, why, answer, clock_);
}

std::optional<duration> request_services::quarantined_for(
    live_request const& request, instant now) const {
    auto keys = quarantine_keys(request.submitted.prompt_parts);
    if (auto const fingerprint = fingerprint_of(request)) {
        keys.push_back(*fingerprint);
    }
    for (request_fingerprint const each : keys) {
        auto const remaining = services_.quarantine.quarantined_for(each, now);
        if (remaining) {
            return remaining;
        }
    }
    return std::nullopt;
}

// Only a truncated answer counts as a crash. An attempt that was cancelled
// because its caller disconnected does not, nor does an endpoint that gives a
// wrong answer or times out, since the endpoint keeps running.
bool request_services::report_to_quarantine(
    live_request const& request, attempt_ended const& end, instant now) {
    auto const fingerprint = fingerprint_of(request);
    if (!fingerprint || request.phase == request_phase::closing) {
        return false;
    }
    if (end.how == attempt_result::completed) {
        quarantine_.on_success(*fingerprint, now);
    }
    if (end.how != attempt_result::truncated) {
        return false;
    }
    bool const without_output = request.phase == request_phase::sent;
    if (without_output) {
        quarantine_.on_part_crash(
            request.submitted.prompt_parts, *fingerprint, request.endpoint,
            request.grant_requested_at, now);
    }
    return quarantine_.on_crash(*fingerprint, request.endpoint, now);
}

// A refusal shows in the counters and in the request's outcome.
void request_services::log_attempt_end(
    live_request const& request, attempt_ended const& end) {
    bool const sent = end.how == attempt_result::truncated ||
                      end.how == attempt_result::failed ||
                      end.how == attempt_result::mismatch ||
                      end.how == attempt_result::timed_out;
    bool const delayed = end.trace.longest_silence >= logged_silence;
    if (!sent && !delayed) {
        return;
    }
    auto const in_ms = [](duration time) {
        return std::chrono::floor<std::chrono::milliseconds>(time).count();
    };
    outbox_.emit(log_event{
        sent ? event_code::answer_lost : event_code::answer_delayed,
        sent ? log_level::warning : log_level::info,
        fmt::format(
            "request={} endpoint={} attempt={} end={} status={} received={} "
            "silence_ms={} longest_silence_ms={} connection={}",
            request.submitted.id.str(), request.endpoint.str(), end.attempt,
            to_string(end.how), end.status, request.received,
            in_ms(end.trace.silence), in_ms(end.trace.longest_silence),
            to_string(end.trace.connection))});
}

bool request_services::record_attempt_end(
    live_request const& request, attempt_ended const& end, instant now) {
    log_attempt_end(request, end);
    bool const reported_to_peers = report_to_quarantine(request, end, now);
    note_availability(request.endpoint, end.notice, now);
    if (end.how == attempt_result::timed_out) {
        services_.members.on_endpoint_timeout(request.endpoint, end.trace, now);
    } else if (end.how != attempt_result::cancelled) {
        services_.members.on_endpoint_call(
            request.endpoint, endpoint_answered(end.how), now);
    }
    if (request.target_profile.kind == endpoint_kind::service) {
        auto const service =
            services_.plain_services.find(request.target_profile.model);
        if (service != services_.plain_services.end()) {
            service->second.on_finished(
                request.submitted.id, service_end_of(end.how), end.notice, now);
        }
        return reported_to_peers;
    }
    if (end.how == attempt_result::completed) {
        services_.endpoint_selector.on_served(now - request.admitted);
    }
    auto const ungranted = ungranted_attempts_.find(request.endpoint);
    bool const counted = !request.grant && !request.resumed;
    if (counted && ungranted != ungranted_attempts_.end() &&
        ungranted->second > 0) {
        --ungranted->second;
    }
    return reported_to_peers;
}

void request_services::note_availability(
    endpoint_id const& endpoint, endpoint_notice const& notice, instant now) {
    if (notice.rest > duration::zero() || notice.leaving) {
        availabilities_[endpoint].apply(notice, now);
    }
    std::erase_if(availabilities_, [&](auto const& each) {
        bool const over =
            !each.second.leaving() && each.second.accepts_requests(now);
        return over || services_.members.find(each.first) == nullptr;
    });
}

bool request_services::accepts_requests(
    endpoint_id const& endpoint, instant now) const {
    auto const found = availabilities_.find(endpoint);
    return found == availabilities_.end() ||
           found->second.accepts_requests(now);
}

duration request_services::rest_remaining(
    endpoint_id const& endpoint, instant now) const {
    auto const found = availabilities_.find(endpoint);
    return found == availabilities_.end() ? duration::zero()
                                          : found->second.rest_remaining(now);
}

std::chrono::milliseconds request_services::shortest_rest(instant now) const {
    std::optional<duration> shortest;
    for (auto const& [id, each] : availabilities_) {
        duration const rest = each.rest_remaining(now);
        if (!each.leaving() && rest > duration::zero()) {
            shortest = std::min(shortest.value_or(rest), rest);
        }
    }
    return std::chrono::ceil<std::chrono::milliseconds>(
        shortest.value_or(duration::zero()));
}

void request_services::submit_service(
    live_request const& request, instant now) {
    auto const service =
        services_.plain_services.find(request.target_profile.model);
    service_request new_request;
    new_request.id = request.submitted.id;
    new_request.how_urgent = request.target_profile.how_urgent;
    new_request.deadline = request.deadline;
    new_request.avoid_endpoint =
        request.tried.empty() ? endpoint_id() : request.tried.back();
    if (service != services_.plain_services.end()) {
        service->second.submit(new_request, now);
        return;
    }
    // A service without endpoints refuses the request in the same way as one
    // that lost all its replicas.
    auto const made = services_.plain_services.try_emplace(
        request.target_profile.model, settings_.services, settings_.health,
        settings_.self.domain, settings_.seed);
    made.first->second.submit(new_request, now);
}

void request_services::cancel_service_request(live_request const& request) {
    auto const service =
        services_.plain_services.find(request.target_profile.model);
    if (service != services_.plain_services.end()) {
        service->second.withdraw(request.submitted.id);
    }
}

} // namespace camphorpoint
