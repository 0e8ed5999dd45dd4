#pragma once

#include "Core/ids.hpp"

#include <cstdint>
#include <string_view>

namespace camphorpoint {

/// Operations that a replica can be commanded to perform.
enum class replica_command_kind : std::uint8_t {
    load_model,
    load_adapter,
    unload_adapter
};

/// One load or unload command to a replica.
struct replica_command {
    replica_command_kind kind = replica_command_kind::load_adapter;
    model_id model;
    /// Adapter, named MODEL/ADAPTER; empty for a command on a base model.
    /// Version 0 means the newest version.
    adapter_ref adapter;
    /// Number of commands that the replica must have accepted before this one.
    /// A command that arrives late finds a different count and has no effect.
    std::uint64_t expected_count = 0;
};

/// Outcome of a command.
enum class command_result : std::uint8_t {
    /// The replica has accepted the command and is carrying it out.
    accepted,
    /// The requested state was already in effect.
    already_done,
    /// Another command is in progress or was accepted before this one.
    out_of_sequence,
    /// A command with a higher fencing number, from another node, came before.
    fenced,
    /// The replica at this address is not the addressed one.
    wrong_replica,
    /// The replica does not know the model or adapter, or does not understand
    /// the command.
    rejected,
    /// No byte of the command was sent.
    not_sent,
    /// No answer was received; the command may be carried out, now or seconds
    /// later.
    no_answer
};

/// @returns the name used in logs and metrics
std::string_view to_string(replica_command_kind kind);
std::string_view to_string(command_result answer);

} // namespace camphorpoint
