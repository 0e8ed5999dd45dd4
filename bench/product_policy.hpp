#pragma once

#include "product_owner.hpp"
#include "world.hpp"

#include <functional>
#include <vector>

namespace camphorpoint::bench {

/// The product's decisions on the bench's cluster: a placement at each entry
/// node, a scheduler for each replica, a budget for the weight store. Messages
/// between nodes take the latency of their failure domains, and a paused node
/// sees them when it wakes up.
class product_policy {
public:
    /// @param cluster outlives the policy
    explicit product_policy(world& cluster);

private:
    using work = std::function<void()>;

    // Set up and periodic work: product_policy.cpp.
    void connect();
    void make_nodes();
    void make_owner(std::uint32_t engine, std::uint32_t node);
    void every(duration period, work const& what);
    void tick();
    void renew_authority();
    void send_reports();
    void send_heartbeats();
    void plan_pause();
    void take_over(std::uint32_t node);
    void update_endpoints();
    /// Runs something on a node after a delay, or when it wakes up.
    void on_node(std::uint32_t node, duration delay, work what);
    /// Runs something on a replica's owner, unless another took over.
    void on_owner(
        std::uint32_t from, std::uint32_t engine,
        std::function<void(replica_scheduler<>&)> what);
    duration hop(std::uint32_t from, std::uint32_t to) const;
    duration engine_hop(std::uint32_t node, std::uint32_t engine) const;
    std::uint32_t service() const;

    // Requests at entry nodes: product_requests.cpp.
    void arrived(std::size_t index);
    void ask(std::size_t index);
    void leave(std::size_t index);
    void granted(std::size_t index, grant_issued const& message);
    void refused(std::size_t index, grant_refused const& message);
    void reach_engine(std::size_t index, std::uint32_t attempt);
    void release(std::size_t index, std::uint32_t tokens, bool was_loaded);
    void withdraw(std::size_t index);
    void retry(std::size_t index, duration later);
    void finished(std::size_t index);
    void expired(std::size_t index);
    void leave_engine(std::uint32_t engine);
    bool is_current(std::size_t index, std::uint32_t attempt) const;

    // Actions of owners: product_orders.cpp.
    void pump(std::uint32_t engine);
    void pump_budget();
    void act(std::uint32_t engine, scheduler_action const& action);
    void to_budget(std::uint32_t engine, std::function<void(node_id const&)>);
    void carry_out(std::uint32_t engine, engine_order const& order);
    void load(std::uint32_t engine, engine_order const& order);
    void evict(std::uint32_t engine, engine_order const& order);
    void order_ended(engine_order const& order, order_result how);
    void load_ended(std::uint32_t engine, adapter_key key, bool loaded);
    void version_changed(std::uint32_t adapter);
    engine_report report_of(std::uint32_t engine) const;

    adapter_ref ref(adapter_key key) const;
    adapter_key key_of(adapter_ref const& adapter) const;
    std::size_t index_of(request_id const& id) const;
    std::uint32_t engine_of(endpoint_id const& id) const;
    std::uint32_t node_of(node_id const& id) const;
    bool log_is_down() const;

    world& world_;
    model_id model_;
    std::vector<node_id> node_ids_;
    std::vector<endpoint_id> engine_ids_;
    std::vector<domain_id> domain_ids_;
    std::vector<adapter_id> adapter_ids_;
    std::vector<entry_node> nodes_;
    std::vector<bench_owner> owners_;
    std::vector<entry_request> requests_;
    /// False while the owner of the replica is suspected.
    std::vector<bool> owner_reachable_;
    store_budget budget_;
    std::uint32_t budget_node_ = 0;
    /// Loads under way, per engine.
    std::vector<std::vector<engine_order>> loading_;
};

} // namespace camphorpoint::bench
