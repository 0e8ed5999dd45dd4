#pragma once

#include "Core/outcome.hpp"
#include "engine_model.hpp"
#include "event_loop.hpp"
#include "service_model.hpp"
#include "store_model.hpp"
#include "trace.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace camphorpoint::bench {

/// The node that the owner-paused fault stops: it takes no caller's request,
/// and decides nothing for what it owns. It does not own the weight store.
inline constexpr std::uint32_t paused_node = 1;
/// How long; longer than an owner's authority lasts.
inline constexpr std::chrono::seconds pause_length{15};

/// Where a request stands.
enum class request_state : std::uint8_t {
    /// Not started; it may already lie in an engine's queue.
    waiting,
    running,
    done,
    refused
};

/// What happened to one request.
struct request_record {
    request_state state = request_state::waiting;
    adapter_key adapter;
    /// The engine that it waits for or runs on.
    std::optional<std::uint32_t> engine;
    instant assigned{};
    instant admitted{};
    instant first_token{};
    instant finished{};
    /// Waiting while the adapter was not resident on its engine.
    duration load_stall{};
    reason why = reason::none;
};

/// What a policy is told.
struct policy_hooks {
    /// A request reached its entry node, or lost its engine and is back.
    std::function<void(std::size_t request)> arrived;
    /// A request ended on its engine.
    std::function<void(std::size_t request, std::uint32_t engine)> finished;
    /// A waiting request passed its deadline and is gone.
    std::function<void(std::size_t request)> expired;
    std::function<void(std::uint32_t engine, adapter_key key, bool loaded)>
        load_ended;
    std::function<void(std::uint32_t engine)> engine_stopped;
    std::function<void(std::uint32_t engine)> engine_up;
    /// Requests from now on mean the adapter's next version.
    std::function<void(std::uint32_t adapter)> version_changed;
    /// @returns the replica of the plain service that takes a call
    std::function<std::uint32_t()> choose_service;
};

/// Steps and their filling, within one second of virtual time.
struct step_sample {
    std::uint64_t steps = 0;
    std::uint64_t sequences = 0;
};

/// The cluster around a policy: engines, store, services and the trace; it
/// keeps the records that the figures are made from.
class world {
public:
    /// @param workload the preset; outlives the world
    /// @param input    the trace; outlives the world
    /// @param what     the fault of this run
    world(
        preset const& workload, trace const& input, std::uint64_t seed,
        fault what);

    /// @param hooks what the policy wants to be told
    void connect(policy_hooks hooks) { hooks_ = std::move(hooks); }
    /// Runs the whole trace.
    void run();

    event_loop& loop() { return loop_; }
    instant now() const { return loop_.now(); }
    preset const& workload() const { return workload_; }
    trace const& input() const { return input_; }
    fault what_fails() const { return fault_; }
    trace_request const& request(std::size_t index) const {
        return input_.requests[index];
    }
    work_class const& kind(std::size_t index) const {
        return workload_.classes[input_.requests[index].work_class];
    }
    request_record const& record(std::size_t index) const {
        return records_[index];
    }
    std::vector<request_record> const& records() const { return records_; }
    instant deadline(std::size_t index) const {
        return request(index).arrival + kind(index).deadline;
    }
    engine_model const& engine(std::uint32_t index) const {
        return *engines_[index];
    }
    std::uint32_t engine_count() const { return workload_.engines; }
    std::uint32_t version(std::uint32_t adapter) const {
        return versions_[adapter];
    }
    std::uint32_t service_outstanding(std::uint32_t replica) const {
        return services_[replica]->outstanding();
    }
    /// @returns the failure domain of an engine or of an entry node
    std::uint32_t domain_of(std::uint32_t member) const {
        return member % static_cast<std::uint32_t>(workload_.domains.size());
    }
    /// @returns one-way latency between an entry node and an engine's domain
    duration latency(std::uint32_t node, std::uint32_t engine) const;

    /// The request now waits for this engine; its stall is counted by it.
    void assign(std::size_t index, std::uint32_t engine);
    /// Puts a waiting request into its engine's queue.
    void enqueue(std::size_t index, std::uint32_t priority);
    /// Gives a waiting request up as "not run".
    void refuse(std::size_t index, reason why);
    /// Loads an adapter into a free slot of an engine, through the store.
    void load(std::uint32_t engine, adapter_key key);
    /// Frees an idle adapter's slot.
    void evict(std::uint32_t engine, adapter_key key);

    /// @returns until when the node does nothing; in the past when it runs
    instant paused_until(std::uint32_t node) const;

    std::vector<step_sample> const& steps() const { return steps_; }
    std::vector<duration> const& call_waits() const { return call_waits_; }
    std::uint64_t loads_ordered() const { return loads_ordered_; }
    instant measured_from() const { return instant{} + workload_.warm_up; }
    /// @returns when the trace ends; what runs then still finishes
    instant end() const { return measured_from() + workload_.measured; }

private:
    engine_hooks hooks_for(std::uint32_t engine);
    void plan_faults();
    void plan_service_change();
    void restart(std::uint32_t engine);
    void feed_requests(std::size_t index);
    void feed_calls(std::size_t index);
    void feed_changes();
    void arrive(std::size_t index);
    void expire(std::size_t index);
    void close_stall(std::size_t index);
    void admitted(std::size_t index);
    void finished(std::size_t index);

    preset const& workload_;
    trace const& input_;
    fault fault_;
    event_loop loop_;
    store_model store_;
    std::vector<std::unique_ptr<engine_model>> engines_;
    std::vector<std::unique_ptr<service_model>> services_;
    std::vector<std::uint32_t> versions_;
    std::vector<request_record> records_;
    std::vector<step_sample> steps_;
    std::vector<duration> call_waits_;
    std::uint64_t loads_ordered_ = 0;
    policy_hooks hooks_;
};

} // namespace camphorpoint::bench
