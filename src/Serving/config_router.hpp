#pragma once

#include "Serving/node_event.hpp"
#include "Serving/node_outbox.hpp"
#include "Serving/node_services.hpp"

#include <cstdint>

namespace camphorpoint {

/// Carries the configuration between the log, peers, operators and the
/// services that follow, publish and checkpoint it.
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
    /// A peer's request names a configuration that this node may lack.
    void require_offset(log_offset offset, node_id const& peer, instant now);
    void on_publish(publish_request const& request, instant now);
    void on_tick(instant now, wall_time wall);
    /// The live nodes changed.
    void refresh_peers();

private:
    void carry_out(config_actions const& actions);
    void carry_out(std::vector<publish_action> const& actions);

    node_services& services_;
    node_outbox& outbox_;
    std::vector<node_id> peers_;
};

} // namespace camphorpoint
