#pragma once

#include "Core/ids.hpp"
#include "Core/outcome.hpp"
#include "Core/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace camphorpoint {

/// What an owner knows of a key.
enum class key_state : std::uint8_t {
    /// One entry node has the permission to run it.
    running,
    /// It ran to its end.
    done,
    /// It may have run; nobody can say.
    unknown,
    /// The permission came back unused: nothing ran.
    not_run
};

/// What a shard's owner remembers of one key.
struct key_record {
    idempotency_key key;
    std::uint64_t body_digest = 0;
    bool idempotent = false;
    key_state state = key_state::running;
    /// The entry node that has the permission, with its request.
    node_id entry_node;
    request_id request;
    std::uint32_t attempt = 0;
    std::uint64_t permission = 0;
    log_offset fencing;
    reason why = reason::none;
    /// False for a long answer, and for one dropped to make room.
    bool answer_kept = false;
    std::string answer;
    /// When it is forgotten, by the calendar clock.
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
