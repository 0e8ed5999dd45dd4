#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
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

/// Carries between nodes what a content has done to the endpoints that ran it.
/// Ends are told to the few nodes that count the content, the same ones for
/// all; what they decide spreads as a rumour, and what a rumour has missed is
/// compared with one node a second.
/// Reference: A. Demers et al., "Epidemic algorithms for replicated database
/// maintenance", PODC 1987.
class quarantine_router {
public:
    quarantine_router(
        serving_settings const& settings, node_services& services,
        node_outbox& outbox);

    /// An endpoint ended while it ran the content.
    /// @returns true when other nodes count it and may say that it is held
    bool on_crash(
        request_fingerprint fingerprint, endpoint_id const& at, instant now);
    /// A run of the content ended well.
    void on_success(request_fingerprint fingerprint, instant now);
    /// A peer's word.
    void on_message(
        node_id const& from, replica_crash_message const& message, instant now);
    void on_message(
        node_id const& from, request_success_message const& message,
        instant now);
    void on_message(
        node_id const& from, quarantine_message const& message, instant now);
    void on_message(
        node_id const& from, quarantine_sync_request const& asked, instant now);
    /// Who is there may have changed: a node that has begun asks.
    void refresh_members();
    void on_tick(instant now);

private:
    /// Ends of one endpoint, by which its starts are told apart.
    struct endpoint_crashes {
        std::uint64_t crashes = 0;
        instant last_seen;
    };

    void count_crash(replica_crash_message const& crash, instant now);
    void record_success(request_fingerprint fingerprint, instant now);
    void gossip(quarantine_update const& update);
    std::uint64_t crash_id_of(std::uint64_t endpoint, instant now);
    std::vector<node_id>
    crash_counter_nodes(request_fingerprint fingerprint) const;
    std::vector<node_id> sample_other_nodes(std::size_t most);

    node_services& services_;
    node_outbox& outbox_;
    std::mt19937_64 random_;
    std::unordered_map<std::uint64_t, endpoint_crashes> crashes_;
    /// Contents whose ends this node has told, and when it did last.
    std::unordered_map<request_fingerprint, instant> reported_;
    std::size_t sync_requests_left_;
    instant next_round_at_{};
};

} // namespace camphorpoint
