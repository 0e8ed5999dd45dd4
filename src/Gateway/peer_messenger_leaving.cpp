#include "Gateway/peer_messenger.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

namespace camphorpoint {

namespace {

/// The shutdown of a replica is repeated in status messages for this long,
/// since a datagram may be lost.
constexpr duration leaving_repeat_time = std::chrono::seconds(3);

std::int64_t to_milliseconds(std::optional<incarnation> const& process) {
    return process ? process->time_since_epoch().count() : 0;
}

std::optional<incarnation> to_incarnation(std::int64_t started_at_ms) {
    return started_at_ms == 0 ? std::nullopt
                              : std::optional(incarnation(
                                    std::chrono::milliseconds(started_at_ms)));
}

} // namespace

bool peer_messenger::apply_leaving(
    endpoint_id const& id, std::optional<incarnation> process,
    std::string_view by) {
    if (!state_->replicas.mark_leaving(id, process)) {
        return false;
    }
    state_->log_event(log_line(event_code::replica_leaving)
                          .with("replica", id.str())
                          .with("by", by));
    return true;
}

void peer_messenger::report_leaving(endpoint_id const& at) {
    replica const* const target = std::as_const(state_->replicas).find(at);
    if (target == nullptr || !apply_leaving(at, std::nullopt, "answer")) {
        return;
    }
    // A process that starts later under the same id does not leave.
    peer_leaving_replica const leaving{
        fleet::id_hash(at), to_milliseconds(target->record.started_at)};
    reported_leaving_[leaving.replica] = {leaving, boot_clock::now()};
    peer_datagram message;
    message.leaving_replicas.push_back(leaving);
    send_all(message);
}

void peer_messenger::handle_leaving(peer_leaving_replica const& message) {
    replica const* const at = state_->replicas.find_by_hash(message.replica);
    if (at != nullptr) {
        apply_leaving(
            at->record.id, to_incarnation(message.started_at_ms), "message");
    }
}

std::vector<peer_leaving_replica>
peer_messenger::recently_leaving(instant now) {
    std::erase_if(reported_leaving_, [&](auto const& each) {
        return now >= each.second.reported_at + leaving_repeat_time;
    });
    std::vector<peer_leaving_replica> found;
    for (auto const& [replica, reported] : reported_leaving_) {
        found.push_back(reported.message);
    }
    return found;
}

} // namespace camphorpoint
