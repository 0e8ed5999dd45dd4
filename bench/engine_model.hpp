#pragma once

#include "adapter_key.hpp"
#include "event_loop.hpp"
#include "preset.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <vector>

namespace camphorpoint::bench {

/// A request as the engine sees it.
struct engine_work {
    std::size_t request = 0;
    adapter_key adapter;
    std::uint32_t tokens = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint64_t prefix = 0;
    /// Lower goes first among those that wait at the engine.
    std::uint32_t priority = 0;
};

/// Told of what happens on an engine.
struct engine_hooks {
    std::function<void(std::size_t request)> admitted;
    std::function<void(std::size_t request)> first_token;
    std::function<void(std::size_t request)> finished;
    std::function<void(std::uint32_t sequences, duration length)> stepped;
};

/// An adapter in a slot.
struct slot_state {
    bool resident = false;
    /// When the load ended.
    instant since{};
    instant last_used{};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// A fake engine with continuous batching: each step gives every running
/// sequence one token, and requests join and leave between steps.
/// Reference: G.-I. Yu et al., "Orca: A Distributed Serving System for
/// Transformer-Based Generative Models", OSDI 2022.
class engine_model {
public:
    /// @param loop       virtual time; outlives the engine
    /// @param parameters how it behaves
    /// @param hooks      told of what happens
    engine_model(
        event_loop& loop, engine_parameters const& parameters,
        engine_hooks hooks);

    /// Takes a request into the engine's queue. It starts when the batch has
    /// room and its adapter is resident; those whose adapter is not are passed
    /// by others.
    void enqueue(engine_work work);
    /// @returns true when the request still waited and is now gone
    bool withdraw(std::size_t request);

    /// @returns true when the adapter may be used
    bool resident(adapter_key key) const;
    /// @returns the adapter's slot, or nullptr when it has none
    slot_state const* slot(adapter_key key) const;
    /// @returns all adapters that hold a slot, loading ones too
    std::map<adapter_key, slot_state> const& slots() const { return slots_; }
    /// @returns true when a request in the queue needs the adapter
    bool waits_for(adapter_key key) const;
    /// @returns true when a load may begin without an eviction
    bool has_free_slot() const;
    /// Takes a slot for an adapter whose load begins. @pre has_free_slot()
    void begin_load(adapter_key key);
    /// The load has ended; the slot is free again when it failed.
    void end_load(adapter_key key, bool loaded);
    /// Frees the adapter's slot. @pre nothing runs with it
    void evict(adapter_key key);

    /// Stops all at once. @returns the requests that it had
    std::vector<std::size_t> stop();
    /// Takes work again, with empty slots.
    void come_up() { up_ = true; }
    bool up() const { return up_; }
    /// Grows with each stop: loads begun before it are void.
    std::uint64_t incarnation() const { return incarnation_; }

    std::uint32_t running() const {
        return static_cast<std::uint32_t>(running_.size());
    }
    std::uint32_t waiting() const {
        return static_cast<std::uint32_t>(waiting_.size());
    }

private:
    struct sequence {
        engine_work work;
        bool has_token = false;
    };

    void wake();
    void start_step();
    void end_step();
    /// @returns prompt tokens that the new sequences have to take in
    std::uint64_t admit();
    std::uint32_t prefill_tokens(engine_work const& work);
    bool touch_prefix(std::uint64_t prefix);

    event_loop& loop_;
    engine_parameters parameters_;
    engine_hooks hooks_;
    std::map<adapter_key, slot_state> slots_;
    std::list<engine_work> waiting_;
    std::vector<sequence> running_;
    /// Most recently used first.
    std::list<std::uint64_t> prefixes_;
    bool stepping_ = false;
    bool up_ = true;
    std::uint64_t incarnation_ = 0;
};

} // namespace camphorpoint::bench
