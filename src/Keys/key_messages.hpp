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

/// Entry node to a shard's owner: may the work under this key run?
struct key_permission_request {
    request_id request;
    std::uint32_t attempt = 0;
    idempotency_key key;
    std::uint64_t body_digest = 0;
    key_shard shard = 0;
    bool idempotent = false;
    /// How long the caller still waits. A span, since clocks differ.
    std::chrono::milliseconds time_left{};
    /// The entry node's calendar clock when it sent this.
    wall_time sent;

    template <class Archive>
    void serialize(Archive& archive);
};

/// What an owner says to an ask.
enum class key_verdict : std::uint8_t {
    /// Run it: this permission is given once.
    run,
    /// It runs already; the end will be told.
    wait,
    /// It has run; here is its answer.
    answer,
    /// It may have run, and is not run again.
    unknown,
    /// It did not run and does not run now.
    refused
};

/// Owner to entry node: the answer to an ask.
struct key_reply {
    request_id request;
    std::uint32_t attempt = 0;
    key_shard shard = 0;
    key_verdict verdict = key_verdict::refused;
    reason why = reason::none;
    /// The kept answer of the run that ended.
    std::string answer;
    /// The permission's number, unique under its fencing number; 0 when the
    /// owner keeps no record of the run.
    std::uint64_t permission = 0;
    /// The claim under which the permission was given.
    log_offset fencing;
    /// When to come back; zero when there is nothing to say.
    std::chrono::milliseconds retry_after{};

    template <class Archive>
    void serialize(Archive& archive);
};

/// Entry node to owner: the work under a key has ended, or was not begun.
/// Sent again until the owner has noted it.
struct key_completion {
    request_id request;
    std::uint32_t attempt = 0;
    idempotency_key key;
    std::uint64_t body_digest = 0;
    key_shard shard = 0;
    bool idempotent = false;
    /// 0 when the ask is withdrawn before its permission came.
    std::uint64_t permission = 0;
    log_offset fencing;
    outcome how = outcome::unknown;
    reason why = reason::none;
    std::string answer;

    template <class Archive>
    void serialize(Archive& archive);
};

/// Owner to entry node: the end of this request stands in the table.
struct key_completion_ack {
    request_id request;
    std::uint32_t attempt = 0;

    template <class Archive>
    void serialize(Archive& archive);
};

/// One key whose work an entry node is running.
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

/// Entry node to owner, every second while it runs any: the keys that it runs.
/// One that is not named for a while becomes unknown.
struct key_heartbeat {
    std::vector<running_key> running;

    template <class Archive>
    void serialize(Archive& archive);
};

/// Owner to its named successor, before it releases a shard: a part of the
/// shard's table, of at most `handover_part_bytes`.
struct key_handover {
    key_shard shard = 0;
    /// The claim that is being given up.
    log_offset fencing;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    /// The sender's own bound: it knows nothing of keys up to this time.
    wall_time unknown_up_to;
    std::vector<key_record> records;

    template <class Archive>
    void serialize(Archive& archive);
};

/// The most that one part of a handover may take, in bytes.
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
