#pragma once

#include "Gateway/gateway_state.hpp"
#include "Gateway/peer_messenger.hpp"
#include "ReplicaControl/slot_tracker.hpp"
#include "platform/store_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace camphorpoint {

/// Sends load and unload commands to the replicas of the partitions whose
/// leases this node holds. Runs one worker per replica and renews the leases.
class replica_controller {
public:
    /// @param state must outlive this object
    /// @param store must outlive this object
    replica_controller(gateway_state& state, platform::store_client& store);

    /// Sets the messenger to the other nodes; must be called before `start`.
    void set_messenger(peer_messenger& messenger) { messenger_ = &messenger; }
    /// Starts to acquire and renew leases.
    void start();
    /// Releases all leases and stops the workers.
    void stop();

    /// Handles a request to load an adapter at a replica.
    /// @returns nothing when the request is accepted, or this node is not the
    ///          replica's controller any more; otherwise the expected time
    ///          until the adapter would be ready
    std::optional<duration>
    handle_load_request(peer_load_request const& request);
    /// Records that the requests of some node use an adapter at a replica.
    void handle_usage(peer_adapter_usage const& usage);
    /// @returns how many more adapters could be loaded at a replica now, less
    ///          the pending load requests; 0 when this node is not its
    ///          controller
    int free_slots(std::uint64_t replica) const;
    /// Wakes the workers after replicas or versions have changed.
    void wake_workers();
    /// Called when this node has lost or regained its links to all replicas.
    void on_reachability_change();

private:
    /// The slots of a replica, and the state of its worker.
    struct controlled_replica {
        controlled_replica(
            slot_limits limits, std::shared_ptr<load_limiter> limiter,
            boost::asio::io_context& io, std::uint64_t fence, instant from)
            : tracker(limits, std::move(limiter))
            , wake(io)
            , token(fence)
            , since(from) {}
        slot_tracker tracker;
        boost::asio::steady_timer wake;
        /// Fencing number of the lease; changes when the partition is claimed
        /// again after a store rollback.
        std::uint64_t token;
        instant since;
        /// Start time of the replica process as last listed in the registry.
        std::optional<incarnation> started_at;
        bool stopped = false;
    };
    using controlled_ptr = std::shared_ptr<controlled_replica>;

    boost::asio::awaitable<void> run_renewals();
    boost::asio::awaitable<void> leave_group();
    /// @returns true when another node should control this node's replicas
    bool must_yield(instant now) const;
    boost::asio::awaitable<void> yield_partitions();
    boost::asio::awaitable<void> renew_once();
    /// @returns true when the partition has replicas that this node may command
    bool has_controlled_replicas(std::size_t partition) const;
    /// @returns true when the lease holder of the partition counts the usage of
    ///          a team that has a cap
    bool counts_capped_team(std::size_t partition) const;
    boost::asio::awaitable<void> claim_used_partitions();
    boost::asio::awaitable<void> claim_partition(std::size_t partition);
    boost::asio::awaitable<void> read_lease_holders();
    boost::asio::awaitable<void>
    run_worker(endpoint_id id, controlled_ptr controlled);
    boost::asio::awaitable<void>
    run_worker_step(endpoint_id id, controlled_ptr controlled);
    boost::asio::awaitable<void>
    fetch_report(endpoint_id id, controlled_ptr controlled);
    boost::asio::awaitable<void> send_command(
        endpoint_id id, controlled_ptr controlled, replica_command command);
    void handle_replaced_replica(endpoint_id const& id);
    void log_command(
        endpoint_id const& id, controlled_replica const& controlled,
        replica_command const& command, command_result answer);
    void spawn_workers();
    void request_newer_versions(slot_tracker& tracker);
    bool try_admit_model_load(service_definition const& service);
    void publish_changes(endpoint_id const& id, slot_tracker& tracker);
    std::map<endpoint_id, controlled_ptr>::const_iterator
    find_controlled(std::uint64_t replica) const;
    std::optional<slot_limits> limits_of(replica const& at) const;

    gateway_state* state_;
    platform::store_client* store_;
    peer_messenger* messenger_ = nullptr;
    std::map<endpoint_id, controlled_ptr> replicas_;
    std::map<std::uint64_t, endpoint_id> ids_by_hash_;

    /// Wakes the coroutine that renews and claims.
    boost::asio::steady_timer claim_timer_;
    std::uint64_t holders_generation_ = 0;
    instant started_at_ = boot_clock::now();
    instant holders_read_at_;
    // Shared with the coroutines, which end after it has become false.
    std::shared_ptr<bool> running_ = std::make_shared<bool>(false);
    std::vector<instant> model_load_times_;
    std::shared_ptr<load_limiter> limiter_ = std::make_shared<load_limiter>();
};

} // namespace camphorpoint
