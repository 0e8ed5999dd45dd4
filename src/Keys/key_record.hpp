#pragma once

#include "Core/ids.hpp"
#include "Core/outcome.hpp"
#include "Core/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace camphorpoint {

/// The state of a key's execution, as known to the owner.
enum class key_state : std::uint8_t {
    /// One entry node has the permission to execute the work.
    running,
    /// The work was executed to completion.
    done,
    /// The work may have been executed; the owner cannot find out.
    unknown,
    /// The entry node returned the permission unused: nothing was executed.
    not_run
};

/// The record of one key at the owner of its shard.
struct key_record {
    idempotency_key key;
    std::uint64_t body_digest = 0;
    bool idempotent = false;
    key_state state = key_state::running;
    /// The entry node that has the permission, followed by the request that the
    /// permission is for.
    node_id entry_node;
    request_id request;
    std::uint32_t attempt = 0;
    std::uint64_t permission = 0;
    log_offset fencing;
    reason why = reason::none;
    /// False when the answer was too long to store, or was dropped to free
    /// memory.
    bool answer_kept = false;
    std::string answer;
    /// Calendar time after which the record may be removed.
    wall_time forget_after;

    template <class Archive>
    void serialize(Archive& archive);
};

template <class Archive>
void key_record::serialize(Archive& archive) {
    auto forget = forget_after.time_since_epoch().count();
    archive(
        key, body_digest, idempotent, state, entry_node, request, attempt,
        permission, fencing, why, answer_kept, answer, forget);
    forget_after = wall_time(std::chrono::milliseconds(forget));
}

} // namespace camphorpoint
