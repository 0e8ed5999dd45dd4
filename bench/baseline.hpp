#pragma once

#include "choosers.hpp"
#include "world.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace camphorpoint::bench {

/// A router of the usual kind: a chooser picks an engine when a request
/// arrives, the engine's queue is first in, first out, and each engine keeps
/// the adapters that it used last. Requests whose adapter is resident pass
/// those that wait for a load; adapters with waiting requests are not evicted;
/// failed loads are retried with a doubling pause.
/// @tparam Chooser picks the engine and the replica of a plain service
template <engine_chooser Chooser>
class baseline {
public:
    explicit baseline(world& cluster)
        : world_(cluster)
        , chooser_(cluster)
        , wanted_(cluster.engine_count())
        , pending_(cluster.engine_count(), 0) {
        policy_hooks hooks;
        hooks.arrived = [this](std::size_t index) {
            arrived(index);
        };
        hooks.finished = [this](std::size_t, std::uint32_t engine) {
            --pending_[engine];
            load_wanted(engine);
        };
        hooks.expired = [this](std::size_t index) {
            expired(index);
        };
        hooks.load_ended =
            [this](std::uint32_t engine, adapter_key key, bool loaded) {
                load_ended(engine, key, loaded);
            };
        hooks.engine_stopped = [this](std::uint32_t engine) {
            wanted_[engine].clear();
            pending_[engine] = 0;
        };
        hooks.engine_up = [](std::uint32_t) {
        };
        hooks.version_changed = [](std::uint32_t) {
        };
        hooks.choose_service = [this] {
            return chooser_.service();
        };
        world_.connect(std::move(hooks));
    }

private:
    void arrived(std::size_t index) {
        if (world_.record(index).state != request_state::waiting) {
            return;
        }
        std::uint32_t const engine = chooser_.engine(index, pending_);
        ++pending_[engine];
        world_.assign(index, engine);
        want(engine, world_.record(index).adapter);
        duration const hop = world_.latency(world_.request(index).node, engine);
        auto const incarnation = world_.engine(engine).incarnation();
        world_.loop().after(hop, [this, index, engine, incarnation] {
            reach(index, engine, incarnation);
        });
    }

    void
    reach(std::size_t index, std::uint32_t engine, std::uint64_t incarnation) {
        if (world_.record(index).state != request_state::waiting) {
            return;
        }
        if (world_.engine(engine).incarnation() != incarnation) {
            arrived(index);
            return;
        }
        world_.enqueue(index, 0);
    }

    void expired(std::size_t index) {
        auto const engine = world_.record(index).engine;
        if (!engine || pending_[*engine] == 0) {
            return;
        }
        --pending_[*engine];
        adapter_key const key = world_.record(index).adapter;
        if (!waited_for(*engine, key)) {
            std::erase(wanted_[*engine], key);
        }
    }

    void want(std::uint32_t engine, adapter_key key) {
        auto& list = wanted_[engine];
        bool const has_slot = world_.engine(engine).slot(key) != nullptr;
        if (!has_slot && std::ranges::find(list, key) == list.end()) {
            list.push_back(key);
            load_wanted(engine);
        }
    }

    /// Loads what is wanted, in order, as far as slots can be had.
    void load_wanted(std::uint32_t engine) {
        auto& list = wanted_[engine];
        while (!list.empty()) {
            engine_model const& target = world_.engine(engine);
            if (target.slot(list.front()) == nullptr) {
                if (!target.has_free_slot() && !evict_one(engine)) {
                    return;
                }
                world_.load(engine, list.front());
            }
            list.erase(list.begin());
        }
    }

    /// Evicts the idle adapter that was used longest ago.
    bool evict_one(std::uint32_t engine) {
        adapter_key victim;
        instant oldest = instant::max();
        for (auto const& [key, slot] : world_.engine(engine).slots()) {
            bool const idle =
                slot.resident && slot.running == 0 && slot.waiting == 0;
            if (idle && slot.last_used < oldest) {
                oldest = slot.last_used;
                victim = key;
            }
        }
        if (oldest == instant::max()) {
            return false;
        }
        world_.evict(engine, victim);
        return true;
    }

    void load_ended(std::uint32_t engine, adapter_key key, bool loaded) {
        if (loaded) {
            failures_.erase({engine, key});
            return;
        }
        constexpr std::uint32_t most_doublings = 4;
        std::uint32_t const failures =
            std::min(failures_[{engine, key}]++, most_doublings);
        duration const pause = std::chrono::milliseconds(500 << failures);
        world_.loop().after(pause, [this, engine, key] {
            if (world_.engine(engine).up() && waited_for(engine, key)) {
                want(engine, key);
            }
        });
    }

    bool waited_for(std::uint32_t engine, adapter_key key) const {
        return world_.engine(engine).waits_for(key);
    }

    world& world_;
    Chooser chooser_;
    /// Adapters without a slot that requests wait for, per engine.
    std::vector<std::vector<adapter_key>> wanted_;
    /// Requests sent and not ended, per engine.
    std::vector<std::uint32_t> pending_;
    std::map<std::pair<std::uint32_t, adapter_key>, std::uint32_t> failures_;
};

} // namespace camphorpoint::bench
