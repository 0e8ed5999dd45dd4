#pragma once

#include "Core/ids.hpp"
#include "Core/outcome.hpp"
#include "Core/time.hpp"
#include "Keys/key_record.hpp"
#include "Keys/key_time.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorpoint {

/// Sent by an entry node to the owner of a shard: requests permission to
/// execute the work under this key.
struct key_permission_request {
    request_id request;
    std::uint32_t attempt = 0;
    idempotency_key key;
    std::uint64_t body_digest = 0;
    key_shard shard = 0;
    bool idempotent = false;
    /// Time until the caller's deadline. It is a duration, not a point in time,
    /// since the clocks of the nodes differ.
    std::chrono::milliseconds time_left{};
    /// The entry node's calendar time when it sent this message.
    wall_time sent;

    template <class Archive>
    void serialize(Archive& archive);
};

/// The owner's verdict on a permission request.
enum class key_verdict : std::uint8_t {
    /// The work may be executed. The owner gives this permission once.
    run,
    /// The work is being executed already. The owner will report the outcome.
    wait,
    /// The work was executed. The reply has its answer.
    answer,
    /// The work may have been executed, and is not executed again.
    unknown,
    /// The work was not executed and will not be executed now.
    refused
};

/// Sent by the owner to an entry node: the reply to a permission request.
struct key_reply {
    request_id request;
    std::uint32_t attempt = 0;
    key_shard shard = 0;
    key_verdict verdict = key_verdict::refused;
    reason why = reason::none;
    /// The stored answer of the completed execution.
    std::string answer;
    /// Number of the permission, unique under its fencing number; 0 when the
    /// owner keeps no record of the execution.
    std::uint64_t permission = 0;
    /// Log offset of the claim under which the permission was given.
    log_offset fencing;
    /// How long the caller should wait before it retries; zero for no
    /// recommendation.
    std::chrono::milliseconds retry_after{};

    template <class Archive>
    void serialize(Archive& archive);
};

/// Sent by an entry node to the owner: the work under a key has completed, or
/// was not started. The entry node repeats this message until the owner
/// acknowledges it.
struct key_completion {
    request_id request;
    std::uint32_t attempt = 0;
    idempotency_key key;
    std::uint64_t body_digest = 0;
    key_shard shard = 0;
    bool idempotent = false;
    /// 0 when the request was withdrawn before its permission arrived.
    std::uint64_t permission = 0;
    log_offset fencing;
    outcome how = outcome::unknown;
    reason why = reason::none;
    std::string answer;

    template <class Archive>
    void serialize(Archive& archive);
};

/// Sent by the owner to an entry node: the table has recorded the completion of
/// this request.
struct key_completion_ack {
    request_id request;
    std::uint32_t attempt = 0;

    template <class Archive>
    void serialize(Archive& archive);
};

/// One key whose work an entry node is executing.
struct running_key {
    request_id request;
    std::uint32_t attempt = 0;
    idempotency_key key;
    std::uint64_t body_digest = 0;
    key_shard shard = 0;
    bool idempotent = false;
    std::uint64_t permission = 0;
    log_offset fencing;

    template <class Archive>
    void serialize(Archive& archive);
};

/// Sent by an entry node to the owner every second while it executes work under
/// any key of the owner: the keys that it is executing. The owner marks a key
/// as unknown when no heartbeat has included it within
/// key_settings::entry_timeout.
struct key_heartbeat {
    std::vector<running_key> running;

    template <class Archive>
    void serialize(Archive& archive);
};

/// Sent by the owner to its designated successor before it releases a shard: a
/// part of the shard's table, of at most `handover_part_bytes`.
struct key_handover {
    key_shard shard = 0;
    /// Log offset of the claim that the sender is about to release.
    log_offset fencing;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    /// The sender's own bound: keys with a time up to this one may have been
    /// executed without a record in its table.
    wall_time unknown_up_to;
    std::vector<key_record> records;

    template <class Archive>
    void serialize(Archive& archive);
};

/// Maximum size of one part of a handover, in bytes.
inline constexpr std::size_t handover_part_bytes = 65'536;

template <class Archive>
void key_permission_request::serialize(Archive& archive) {
    auto left = time_left.count();
    auto wall = sent.time_since_epoch().count();
    archive(request, attempt, key, body_digest, shard, idempotent, left, wall);
    time_left = std::chrono::milliseconds(left);
    sent = wall_time(std::chrono::milliseconds(wall));
}

template <class Archive>
void key_reply::serialize(Archive& archive) {
    auto after = retry_after.count();
    archive(
        request, attempt, shard, verdict, why, answer, permission, fencing,
        after);
    retry_after = std::chrono::milliseconds(after);
}

template <class Archive>
void key_completion::serialize(Archive& archive) {
    archive(
        request, attempt, key, body_digest, shard, idempotent, permission,
        fencing, how, why, answer);
}

template <class Archive>
void key_completion_ack::serialize(Archive& archive) {
    archive(request, attempt);
}

template <class Archive>
void running_key::serialize(Archive& archive) {
    archive(
        request, attempt, key, body_digest, shard, idempotent, permission,
        fencing);
}

template <class Archive>
void key_heartbeat::serialize(Archive& archive) {
    archive(running);
}

template <class Archive>
void key_handover::serialize(Archive& archive) {
    auto bound = unknown_up_to.time_since_epoch().count();
    archive(shard, fencing, part, parts, bound, records);
    unknown_up_to = wall_time(std::chrono::milliseconds(bound));
}

} // namespace camphorpoint
