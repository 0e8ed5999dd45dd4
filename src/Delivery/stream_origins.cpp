#include "Delivery/stream_origins.hpp"

#include "Core/hash.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace camphorpoint {

stream_key make_stream_key(
    request_id const& first_request, service_id const& service,
    adapter_id const& adapter) {
    std::uint64_t const target =
        combine_hashes(hash_text(service.str()), hash_text(adapter.str()));
    return stream_key{combine_hashes(hash_text(first_request.str()), target)};
}

std::string_view name_of(origin_source source) {
    switch (source) {
    case origin_source::ambiguous:
        return "ambiguous";
    case origin_source::several_versions:
        return "several-versions";
    case origin_source::unconfirmed:
        return "unconfirmed";
    case origin_source::own_record:
        return "record";
    case origin_source::peer_record:
        return "peer-record";
    case origin_source::own_observation:
        return "observed";
    case origin_source::own_store_record:
        return "stored";
    case origin_source::peer_observation:
        return "peer-observed";
    case origin_source::peer_store_record:
        return "peer-stored";
    case origin_source::unknown:
        break;
    }
    return "unknown";
}

namespace {

origin_source source_of(version_knowledge knowledge, bool own) {
    bool const observed = knowledge == version_knowledge::observed;
    if (own) {
        return observed ? origin_source::own_observation
                        : origin_source::own_store_record;
    }
    return observed ? origin_source::peer_observation
                    : origin_source::peer_store_record;
}

/// @returns the version that all records agree on
resumption_choice choose_recorded(std::span<origin_evidence const> evidence) {
    resumption_choice result;
    for (origin_evidence const& each : evidence) {
        if (each.origin.state == origin_state::unknown) {
            continue;
        }
        bool const differs =
            result.software && *result.software != each.origin.software;
        if (each.origin.state == origin_state::ambiguous || differs) {
            return {std::nullopt, origin_source::ambiguous};
        }
        if (!result.software) {
            bool const own = &each == evidence.data();
            result = {
                each.origin.software,
                own ? origin_source::own_record : origin_source::peer_record};
        }
    }
    return result;
}

/// @param evidence what the nodes know, this one first
/// @returns true when every other node has stated which versions it has seen
bool all_state_versions(std::span<origin_evidence const> evidence) {
    return std::ranges::none_of(
        evidence.subspan(std::min<std::size_t>(1, evidence.size())),
        [](origin_evidence const& each) {
            return each.versions.knowledge == version_knowledge::none;
        });
}

/// @returns the version that one node knows to be the only one, unless any node
///          has seen another one or may have missed it
resumption_choice choose_single_version(
    std::span<origin_evidence const> evidence, view_evidence const& view) {
    std::optional<software_key> seen;
    bool own_knowledge = false;
    resumption_choice result;
    for (origin_evidence const& each : evidence) {
        service_versions const& versions = each.versions;
        if (versions.knowledge == version_knowledge::none) {
            continue;
        }
        if (versions.knowledge == version_knowledge::several ||
            (seen && *seen != versions.software)) {
            return {std::nullopt, origin_source::several_versions};
        }
        seen = versions.software;
        if (versions.only() && !result.software) {
            own_knowledge = &each == evidence.data();
            result = {
                versions.software,
                source_of(versions.knowledge, own_knowledge)};
        }
    }
    bool const all_agree = view.all_answered && all_state_versions(evidence);
    bool const current = all_agree || (own_knowledge && view.confirmed);
    if (result.software && !current) {
        return {std::nullopt, origin_source::unconfirmed};
    }
    return result;
}

} // namespace

resumption_choice choose_resumption(
    std::span<origin_evidence const> evidence, view_evidence const& view) {
    resumption_choice const recorded = choose_recorded(evidence);
    bool const found = recorded.source != origin_source::unknown;
    return found ? recorded : choose_single_version(evidence, view);
}

void stream_origins::add(stream_record const& record, instant now) {
    expire(now);
    auto const [found, inserted] = entries_.try_emplace(record.stream);
    entry& target = found->second;
    bool const differs =
        !inserted && (target.origin.state == origin_state::ambiguous ||
                      target.origin.software != record.software);
    target.origin.state =
        differs ? origin_state::ambiguous : origin_state::known;
    target.origin.software = record.software;
    target.recorded_at = now;
    recorded_.emplace_back(record.stream, now);
}

stream_origin stream_origins::find(stream_key stream, instant now) const {
    auto const found = entries_.find(stream);
    bool const valid =
        found != entries_.end() && now < found->second.recorded_at + lifetime_;
    return valid ? found->second.origin : stream_origin();
}

void stream_origins::expire(instant now) {
    while (!recorded_.empty() &&
           (recorded_.size() >= max_entries_ ||
            now >= recorded_.front().second + lifetime_)) {
        auto const [stream, recorded_at] = recorded_.front();
        recorded_.pop_front();
        auto const found = entries_.find(stream);
        // A stream that was recorded again stays.
        if (found != entries_.end() &&
            found->second.recorded_at == recorded_at) {
            entries_.erase(found);
        }
    }
}

void stream_origins::defer_announcement(
    service_id const& service, stream_record const& record, instant now) {
    auto& queue = deferred_[service];
    while (!queue.empty() && now >= queue.front().queued_at + lifetime_) {
        auto const pending = pending_streams_.find(queue.front().record.stream);
        if (pending != pending_streams_.end() &&
            now >= pending->second + lifetime_) {
            pending_streams_.erase(pending);
        }
        queue.pop_front();
    }
    queue.push_back({record, now});
    pending_streams_[record.stream] = now;
}

void stream_origins::cancel_announcement(stream_key stream) {
    pending_streams_.erase(stream);
}

std::vector<service_id> stream_origins::deferred_services() const {
    std::vector<service_id> services;
    for (auto const& [service, queue] : deferred_) {
        if (!queue.empty()) {
            services.push_back(service);
        }
    }
    return services;
}

std::vector<stream_record> stream_origins::take_deferred(
    service_id const& service, std::size_t max_count, instant now) {
    std::vector<stream_record> taken;
    auto& queue = deferred_[service];
    while (!queue.empty() && taken.size() < max_count) {
        deferred_record const next = queue.front();
        queue.pop_front();
        // A stream that was resumed is queued several times.
        auto const pending = pending_streams_.extract(next.record.stream);
        if (pending && now < pending.mapped() + lifetime_) {
            taken.push_back(next.record);
        }
    }
    return taken;
}

} // namespace camphorpoint
