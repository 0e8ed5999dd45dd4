#pragma once

#include "Scheduling/grant_messages.hpp"
#include "Serving/node_outbox.hpp"
#include "Serving/node_services.hpp"
#include "Serving/serving_settings.hpp"

#include <map>
#include <vector>

namespace camphorpoint {

/// Sends each owner a periodic list of this node's requests on the owner's
/// replicas. Heartbeats continue for a while after the last request, which
/// repairs a lost release message.
class heartbeat_sender {
public:
    heartbeat_sender(
        request_settings const& settings, node_services const& services,
        node_outbox& outbox)
        : settings_(settings)
        , services_(services)
        , outbox_(outbox) {}

    /// @returns true when it is time for the next heartbeats
    bool due(instant now) const noexcept { return now >= next_; }
    /// Sends the heartbeats.
    /// @param all all requests that run or wait on any replica
    void send(std::vector<grant_in_use> const& all, instant now) {
        next_ = now + settings_.heartbeat_period;
        std::map<node_id, grant_heartbeat> heartbeats;
        for (grant_in_use const& each : all) {
            node_id const owner =
                services_.reachable_owner(replica_resource(each.replica));
            if (!owner.empty()) {
                heartbeats[owner].grants.push_back(each);
                last_used_[owner] = now;
            }
        }
        std::erase_if(last_used_, [&](auto const& each) {
            return now - each.second > settings_.idle_owner_heartbeat_period;
        });
        for (auto const& [owner, used] : last_used_) {
            outbox_.send(owner, std::move(heartbeats[owner]));
        }
    }

private:
    request_settings settings_;
    node_services const& services_;
    node_outbox& outbox_;
    std::map<node_id, instant> last_used_;
    instant next_{};
};

} // namespace camphorpoint
