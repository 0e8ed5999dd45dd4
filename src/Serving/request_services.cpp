#include "Serving/request_services.hpp"

#include "Core/hash.hpp"
#include "Placement/rendezvous.hpp"

#include <algorithm>
#include <variant>
#include <vector>

namespace camphorpoint {

namespace {

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

// A stream that is resumed has no body by which its content is known; it goes
// on where it ran before, and nowhere else.
std::optional<request_fingerprint> content_of(live_request const& request) {
    if (request.asked.body_digest == 0) {
        return std::nullopt;
    }
    return request_fingerprint{combine_hashes(
        hash_text(request.asked.profile.str()), request.asked.body_digest)};
}

// The endpoint answered, whatever it said.
bool answered(attempt_result how) {
    return how == attempt_result::completed ||
           how == attempt_result::refused_busy ||
           how == attempt_result::refused_not_loaded;
}

} // namespace

admission request_services::admit(profile_name const& name, instant now) {
    if (draining_) {
        // Another node behind the balancer takes it at once.
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
        services_.choice.on_demand(found->adapter, now);
    }
    return {reason::none, *found, current.next(), {}};
}

// Guards against requests that follow one that ends its engines: those of one
// adapter go to the same engines, break off there with it, and would be taken
// for it. Each suspected content goes to an engine of its own.
std::optional<endpoint_id>
request_services::choose_apart(live_request const& request) const {
    auto const content = content_of(request);
    if (!content || !services_.quarantine.suspected(*content)) {
        return std::nullopt;
    }
    std::vector<endpoint_id> open;
    for (endpoint_instance const& each : services_.members.live_endpoints()) {
        bool const tried =
            std::ranges::find(request.tried, each.id) != request.tried.end();
        if (each.kind == endpoint_kind::engine &&
            each.model == request.what.model && !tried) {
            open.push_back(each.id);
        }
    }
    auto const first = rendezvous_top(to_string(*content), open, 1);
    return first.empty() ? std::nullopt : std::optional(first.front());
}

route request_services::choose(live_request const& request, instant now) {
    auto chosen = choose_apart(request);
    if (!chosen) {
        chosen = services_.choice.choose(
            request.what.adapter, request.what.model, request.what.how_urgent,
            request.asked.prefix_hash, request.tried, now);
    }
    if (!chosen) {
        return {{}, {}, true, reason::no_endpoint, {}};
    }
    endpoint_instance const* const instance = services_.members.find(*chosen);
    if (instance == nullptr) {
        return {{}, {}, true, reason::no_endpoint, {}};
    }
    if (request.attempt == 1) {
        services_.retries.on_request(*chosen, request.asked.caller_group, now);
    }
    bool const alone = may_go_without_grant(*instance, now);
    if (alone) {
        ++without_grant_[*chosen];
    }
    return {*chosen, instance->address, !alone, reason::none, {}};
}

// While the log is out of reach and a replica's owner is dead nobody can take
// over, and nobody evicts: a request may use what is resident there. The
// engine refuses what is not, and each node keeps to its share of the batch.
bool request_services::may_go_without_grant(
    endpoint_instance const& endpoint, instant now) const {
    resource_id const resource = replica_resource(endpoint.id);
    if (!services_.owning.fallback_allowed(resource, now)) {
        return false;
    }
    std::size_t const nodes =
        std::max<std::size_t>(1, services_.members.live_nodes().size());
    std::size_t const share =
        std::max<std::size_t>(1, endpoint.batch_limit / nodes);
    auto const used = without_grant_.find(endpoint.id);
    return used == without_grant_.end() || used->second < share;
}

std::string request_services::address_of(endpoint_id const& endpoint) const {
    endpoint_instance const* const found = services_.members.find(endpoint);
    return found == nullptr ? std::string() : found->address;
}

bool request_services::try_consume_retry(
    live_request const& request, instant now) {
    return services_.retries.try_retry(
        request.endpoint, request.asked.caller_group, now);
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
    keyed_request asked;
    asked.id = request.asked.id;
    asked.key = canonical_key(*request.asked.key);
    asked.body_digest = request.asked.body_digest;
    asked.idempotent = request.what.idempotent;
    asked.deadline = request.deadline;
    services_.keys.request_permission(asked, clock_);
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
    auto const content = content_of(request);
    return content ? services_.quarantine.quarantined_for(*content, now)
                   : std::nullopt;
}

// A caller that has left breaks its own run off; an endpoint that answers what
// is no good, or nothing in time, goes on.
bool request_services::note_content(
    live_request const& request, attempt_ended const& end, instant now) {
    auto const content = content_of(request);
    if (!content || request.phase == request_phase::closing) {
        return false;
    }
    if (end.how == attempt_result::completed) {
        contents_.on_served(*content, now);
    }
    return end.how == attempt_result::truncated &&
           contents_.on_broken(*content, request.endpoint, now);
}

bool request_services::record_attempt_end(
    live_request const& request, attempt_ended const& end, instant now) {
    bool const counted_elsewhere = note_content(request, end, now);
    if (end.how != attempt_result::cancelled) {
        services_.members.on_endpoint_call(
            request.endpoint, answered(end.how), now);
    }
    if (request.what.kind == endpoint_kind::service) {
        auto const service = services_.plain.find(request.what.model);
        if (service != services_.plain.end()) {
            service->second.on_finished(
                request.asked.id, service_end_of(end.how), now);
        }
        return counted_elsewhere;
    }
    if (end.how == attempt_result::completed) {
        services_.choice.on_served(now - request.admitted);
    }
    auto const alone = without_grant_.find(request.endpoint);
    bool const counted = !request.grant && !request.resumed;
    if (counted && alone != without_grant_.end() && alone->second > 0) {
        --alone->second;
    }
    return counted_elsewhere;
}

void request_services::submit_service(
    live_request const& request, instant now) {
    auto const service = services_.plain.find(request.what.model);
    service_request asked;
    asked.id = request.asked.id;
    asked.how_urgent = request.what.how_urgent;
    asked.deadline = request.deadline;
    asked.avoid_endpoint =
        request.tried.empty() ? endpoint_id() : request.tried.back();
    if (service != services_.plain.end()) {
        service->second.submit(asked, now);
        return;
    }
    // An empty router refuses it as it refuses when all replicas are gone.
    auto const made = services_.plain.try_emplace(
        request.what.model, settings_.services, settings_.health,
        settings_.self.domain, settings_.seed);
    made.first->second.submit(asked, now);
}

void request_services::cancel_service_request(live_request const& request) {
    auto const service = services_.plain.find(request.what.model);
    if (service != services_.plain.end()) {
        service->second.withdraw(request.asked.id);
    }
}

} // namespace camphorpoint
