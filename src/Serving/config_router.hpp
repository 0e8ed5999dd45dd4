#pragma once

#include "Serving/node_event.hpp"
#include "Serving/node_outbox.hpp"
#include "Serving/node_services.hpp"

#include <cstdint>

namespace camphorpoint {

/// Connects the services that follow, publish and checkpoint the configuration
/// to the log, the peers and the operators.
class config_router {
public:
    config_router(node_services& services, node_outbox& outbox)
        : services_(services)
        , outbox_(outbox) {}

    void on_batch(log_batch const& batch, instant now);
    void on_read_failed(instant now);
    void on_append_ended(
        append_origin origin, log_append_ended const& end, instant now);
    void
    on_peer(node_id const& from, config_message const& message, instant now);
    /// Asks for newer configuration records when a peer's request refers to an
    /// offset that this node has not applied yet.
    /// @param offset the offset that the request refers to
    /// @param peer   the node that sent the request
    void require_offset(log_offset offset, node_id const& peer, instant now);
    void on_publish(publish_request const& request, instant now);
    void on_tick(instant now, wall_time wall);
    /// Updates the list of peers after a change of the live nodes.
    void refresh_peers();

private:
    void carry_out(config_actions const& actions);
    void carry_out(std::vector<publish_action> const& actions);

    node_services& services_;
    node_outbox& outbox_;
    std::vector<node_id> peers_;
};

} // namespace camphorpoint
