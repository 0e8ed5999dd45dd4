#pragma once

#include "Core/ids.hpp"

#include <cstdint>
#include <string_view>

namespace camphorpoint {

/// What a replica is ordered to do.
enum class replica_command_kind : std::uint8_t {
    load_model,
    load_adapter,
    unload_adapter
};

/// One order to one replica.
struct replica_command {
    replica_command_kind kind = replica_command_kind::load_adapter;
    model_id model;
    /// Named MODEL/ADAPTER; empty for a base model. Version 0 is the newest.
    adapter_ref adapter;
    /// The number of orders that the replica must have accepted before. An
    /// order that arrives late finds another number and does nothing.
    std::uint64_t expected_count = 0;
};

/// What a replica says to an order.
enum class command_result : std::uint8_t {
    /// It is being carried out.
    accepted,
    /// What it asks for holds already.
    already_done,
    /// Another order is under way, or came before.
    out_of_sequence,
    /// Another node orders by a higher fencing number.
    fenced,
    /// The replica at this address is another one.
    wrong_replica,
    /// The replica does not know what it was asked.
    rejected,
    /// No byte of it was sent.
    not_sent,
    /// No answer: it may be carried out, now or seconds later.
    no_answer
};

/// @returns its name in logs and counters
std::string_view to_string(replica_command_kind kind);
std::string_view to_string(command_result answer);

} // namespace camphorpoint
