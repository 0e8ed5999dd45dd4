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

/// Orders loads at the replicas of the partitions that this node holds: one
/// worker for each replica, and the renewal of the leases.
class replica_controller {
public:
    /// @param beliefs must outlive this
    /// @param store   must outlive this
    replica_controller(gateway_state& state, platform::store_client& store);

    /// Where word to other nodes goes; set before start.
    void set_messenger(peer_messenger& words) { messenger_ = &words; }
    /// Begins to hold partitions.
    void start();
    /// Gives all partitions up.
    void stop();

    /// Somebody wants an adapter at a replica.
    /// @returns nothing when it is taken, else how long it would take
    std::optional<duration> handle_load_request(peer_load_request const& asked);
    /// Somebody uses an adapter at a replica.
    void handle_usage(peer_adapter_usage const& told);
    /// @returns adapters that could be loaded at a replica at once, less those
    ///          that wait; 0 when this node does not order for it
    int free_slots(std::uint64_t replica) const;
    /// Replicas or versions have changed.
    void wake_workers();

private:
    /// A replica's account, and the worker that goes by it.
    struct held_replica {
        held_replica(
            slot_limits limits, std::shared_ptr<load_limiter> limiter,
            boost::asio::io_context& io, std::uint64_t fence, instant from)
            : account(limits, std::move(limiter))
            , wake(io)
            , token(fence)
            , since(from) {}
        slot_tracker account;
        boost::asio::steady_timer wake;
        /// Another one after a claim in a later era of the store.
        std::uint64_t token;
        instant since;
        /// When the replica started, as the list said last.
        std::optional<incarnation> born;
        bool ended = false;
    };
    using held_ptr = std::shared_ptr<held_replica>;

    boost::asio::awaitable<void> renew();
    boost::asio::awaitable<void> leave();
    boost::asio::awaitable<void> renew_once();
    boost::asio::awaitable<void> claim_used();
    boost::asio::awaitable<void> claim(std::size_t partition);
    boost::asio::awaitable<void> read_owners();
    boost::asio::awaitable<void> work(endpoint_id id, held_ptr held);
    boost::asio::awaitable<void> work_once(endpoint_id id, held_ptr held);
    boost::asio::awaitable<void> report(endpoint_id id, held_ptr held);
    boost::asio::awaitable<void>
    order(endpoint_id id, held_ptr held, replica_command order);
    void note_replaced(endpoint_id const& id);
    void note_order(
        endpoint_id const& id, held_replica const& held,
        replica_command const& order, command_result answer);
    void spawn_workers();
    void want_newer_versions(slot_tracker& account);
    bool may_load_model(service_definition const& service);
    void publish(endpoint_id const& id, slot_tracker& account);
    std::map<endpoint_id, held_ptr>::const_iterator
    find_held(std::uint64_t replica) const;
    std::optional<slot_limits> limits_of(replica const& at) const;

    gateway_state* state_;
    platform::store_client* store_;
    peer_messenger* messenger_ = nullptr;
    std::map<endpoint_id, held_ptr> held_;
    std::map<std::uint64_t, endpoint_id> by_short_name_;

    /// Wakes whoever renews and claims.
    boost::asio::steady_timer claim_timer_;
    std::uint64_t owners_generation_ = 0;
    instant owners_read_;
    // Shared with the coroutines, which end after it has turned false.
    std::shared_ptr<bool> running_ = std::make_shared<bool>(false);
    std::vector<instant> model_loads_;
    std::shared_ptr<load_limiter> limiter_ = std::make_shared<load_limiter>();
};

} // namespace camphorpoint
