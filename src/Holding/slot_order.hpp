#pragma once

#include "Core/ids.hpp"

#include <cstdint>
#include <string_view>

namespace camphorpoint {

/// What a replica is ordered to do.
enum class slot_order_kind : std::uint8_t {
    load_model,
    load_adapter,
    unload_adapter
};

/// One order to one replica.
struct slot_order {
    slot_order_kind kind = slot_order_kind::load_adapter;
    model_id model;
    /// Named MODEL/ADAPTER; empty for a base model. Version 0 is the newest.
    adapter_ref adapter;
    /// The number of orders that the replica must have accepted before. An
    /// order that arrives late finds another number and does nothing.
    std::uint64_t expect = 0;
};

/// What a replica says to an order.
enum class slot_answer : std::uint8_t {
    /// It is being carried out.
    accepted,
    /// What it asks for holds already.
    holds,
    /// Another order is under way, or came before.
    out_of_step,
    /// Another node orders by a higher fencing number.
    fenced,
    /// The replica at this address is another one.
    other_replica,
    /// The replica does not know what it was asked.
    rejected,
    /// No byte of it was sent.
    unsent,
    /// No answer: it may be carried out, now or seconds later.
    lost
};

/// @returns its name in logs and counters
std::string_view to_string(slot_order_kind kind);
std::string_view to_string(slot_answer answer);

} // namespace camphorpoint
