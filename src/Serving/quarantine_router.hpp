#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Delivery/part_monitor.hpp"
#include "Delivery/quarantine_messages.hpp"
#include "Delivery/request_fingerprint.hpp"
#include "Delivery/request_quarantine.hpp"
#include "Serving/node_outbox.hpp"
#include "Serving/node_services.hpp"
#include "Serving/serving_settings.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace camphorpoint {

/// Shares between nodes which requests crash the endpoints that run them. Each
/// crash is reported to a few nodes that count the crashes of the request, the
/// same nodes for every reporter. Their decisions spread by gossip. Periodic
/// rounds, in which each node sends updates to one other node, reach nodes that
/// the gossip missed.
/// Reference: A. Demers et al., "Epidemic algorithms for replicated database
/// maintenance", PODC 1987.
class quarantine_router {
public:
    quarantine_router(
        serving_settings const& settings, node_services& services,
        node_outbox& outbox);

    /// Records and reports that an endpoint crashed while it ran the request.
    /// @returns true when other nodes count the crash and may quarantine the
    /// request
    bool on_crash(
        request_fingerprint fingerprint, endpoint_id const& at, instant now);
    /// Records and reports that an attempt of the request completed.
    void on_success(request_fingerprint fingerprint, instant now);
    /// Records and reports that an endpoint crashed during an attempt before it
    /// had written any part of the answer.
    /// @param parts   the shared parts of the request's prompt
    /// @param request fingerprint of the whole request
    void on_part_crash(
        std::vector<request_fingerprint> const& parts,
        request_fingerprint request, endpoint_id const& at,
        instant attempt_began, instant now);
    /// Records and reports the first output of an attempt.
    /// @param parts the shared parts of the request's prompt
    void on_output(std::vector<request_fingerprint> const& parts, instant now);
    /// Handles a message from a peer.
    void on_message(
        node_id const& from, replica_crash_message const& message, instant now);
    void on_message(
        node_id const& from, request_success_message const& message,
        instant now);
    void on_message(
        node_id const& from, quarantine_message const& message, instant now);
    void on_message(
        node_id const& from, quarantine_sync_request const& asked, instant now);
    void on_message(
        node_id const& from, part_crash_message const& message, instant now);
    void on_message(
        node_id const& from, part_inquiry_message const& message, instant now);
    void on_message(
        node_id const& from, part_output_message const& message, instant now);
    /// Handles a possible change of the live nodes. A starting node requests
    /// the updates of others.
    void refresh_members();
    void on_tick(instant now);

private:
    /// Crashes of one endpoint, counted to distinguish its incarnations.
    struct endpoint_crashes {
        std::uint64_t crashes = 0;
        instant last_seen;
    };

    void count_crash(replica_crash_message const& crash, instant now);
    void count_part_crash(part_crash_message const& message, instant now);
    void announce(quarantine_update const& update);
    void record_success(request_fingerprint fingerprint, instant now);
    void gossip(quarantine_update const& update);
    std::uint64_t crash_id_of(std::uint64_t endpoint, instant now);
    std::vector<node_id>
    crash_counter_nodes(request_fingerprint fingerprint) const;
    std::vector<node_id> sample_other_nodes(std::size_t most);

    node_services& services_;
    node_outbox& outbox_;
    std::mt19937_64 random_;
    part_monitor parts_;
    std::unordered_map<std::uint64_t, endpoint_crashes> crashes_;
    /// Requests whose crashes this node has reported, with the time of the last
    /// report.
    std::unordered_map<request_fingerprint, instant> reported_;
    std::size_t sync_requests_left_;
    instant next_round_at_{};
};

} // namespace camphorpoint
