#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Records/engine_order.hpp"
#include "Records/instance_record.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace camphorpoint::test {

/// A model engine: adapters in slots, and streams of a token every few ms.
struct fake_engine {
    endpoint_instance instance;
    std::set<adapter_ref> resident;
    /// Streams that run, by the id that the engine knows them by.
    std::map<request_id, adapter_ref> running;
    /// How often each request was begun: more than once is a second run.
    std::map<request_id, std::size_t> begun;
    /// Streams that it can resume: of this run of its process.
    std::set<request_id> known;
    std::uint64_t incarnation = 1;
    /// True while loads fail, or while orders are carried out but the answers
    /// to them are lost.
    bool fails_loads = false;
    bool loses_answers = false;
    /// Evictions of an adapter that a stream was using: never to happen.
    std::size_t evicted_in_use = 0;
    /// Tokens of each answer, and the time of one.
    std::uint32_t tokens = 10;
    std::chrono::milliseconds token_time{20};
    std::chrono::milliseconds load_time{200};
    /// Until then its process stands still: no token, answer or report leaves.
    instant silent_until{};

    /// @returns true when a stream uses the adapter
    bool in_use(adapter_ref const& adapter) const {
        for (auto const& [id, used] : running) {
            if (used == adapter) {
                return true;
            }
        }
        return false;
    }
    /// Carries out an order that has arrived.
    order_result take(engine_order const& order) {
        if (order.kind == engine_order_kind::evict) {
            evicted_in_use += in_use(order.adapter) ? 1 : 0;
            resident.erase(order.adapter);
            return order_result::done;
        }
        if (fails_loads) {
            return order_result::failed;
        }
        if (resident.contains(order.adapter)) {
            return order_result::done;
        }
        if (resident.size() >= instance.adapter_slots) {
            return order_result::refused_busy;
        }
        resident.insert(order.adapter);
        return order_result::done;
    }
    engine_report report() const {
        engine_report result;
        result.replica = instance.id;
        result.incarnation = incarnation;
        result.running = static_cast<std::uint32_t>(running.size());
        result.resident.assign(resident.begin(), resident.end());
        for (auto const& [id, used] : running) {
            result.in_use.push_back(used);
        }
        return result;
    }
};

} // namespace camphorpoint::test
