#pragma once

#include "Gateway/gateway_state.hpp"
#include "Ports/http_client.hpp"
#include "Settings/node_settings.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace camphorpoint {

/// Probes replicas while this node doubts whether it reaches any of them, and
/// ends their suspicion when it does again.
class reachability_prober {
public:
    /// @param state     must outlive the prober
    /// @param on_change called when this node has lost or regained all replicas
    reachability_prober(gateway_state& state, std::function<void()> on_change);

    /// Starts a probe if one is due.
    void poll();
    /// Ignores the results of probes from now on.
    void stop();

private:
    boost::asio::awaitable<void> probe(std::vector<ip_address> targets);
    std::vector<ip_address> choose_targets();
    void finish(bool any_connected);

    gateway_state* state_;
    std::function<void()> on_change_;
    // Shared with the coroutines, which may end after this object.
    std::shared_ptr<bool> running_ = std::make_shared<bool>(true);
};

/// Records what a call to a replica shows of this node's links.
/// @param how  how the call ended
/// @param call the call, after it was opened
void record_reachability(
    replica_reachability& links, endpoint_id const& at, call_result how,
    http_call const& call);

} // namespace camphorpoint
