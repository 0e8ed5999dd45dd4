#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"
#include "Core/outcome.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace camphorpoint {

/// Entry node to owner: may this request run on your replica?
struct grant_request {
    request_id request;
    /// Counts the asks of one request, so that a late reply is told apart.
    std::uint32_t attempt = 0;
    endpoint_id replica;
    adapter_ref adapter;
    urgency how_urgent = urgency::normal;
    /// How long the caller still waits. A span, since clocks differ.
    std::chrono::milliseconds time_left{};
    /// Tokens that the answer is expected to have.
    std::uint32_t expected_tokens = 0;
    /// Hash of the prompt's prefix, for prefix-cache affinity; 0 when unknown.
    std::uint64_t prefix_hash = 0;
    /// The configuration offset that the request was admitted under.
    log_offset configuration;

    template <class Archive>
    void serialize(Archive& archive);
};

/// What an owner says of its replica with each reply.
struct replica_feedback {
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    /// Expected wait of a new request whose adapter is resident.
    std::chrono::milliseconds expected_wait{};
    bool adapter_resident = false;
    /// Expected wait until an adapter that is not resident would be.
    std::chrono::milliseconds expected_load{};

    template <class Archive>
    void serialize(Archive& archive);
};

/// Owner to entry node: the request may run now.
struct grant_issued {
    request_id request;
    std::uint32_t attempt = 0;
    endpoint_id replica;
    /// The grant's number, unique within one ownership.
    std::uint64_t grant = 0;
    /// The claim under which it was given.
    log_offset fencing;
    /// How long the ask was at the owner when this was sent.
    std::chrono::milliseconds queued{};
    /// The entry node must have sent within this time of this reply's sending.
    /// By its own clock that is at the latest `queued` and this time after its
    /// ask went out, however long the reply is under way: the ask can't have
    /// reached the owner before it was sent.
    std::chrono::milliseconds send_within{};
    replica_feedback feedback;

    template <class Archive>
    void serialize(Archive& archive);
};

/// Owner to entry node: the request may not run here. It did not run.
struct grant_refused {
    request_id request;
    std::uint32_t attempt = 0;
    endpoint_id replica;
    reason why = reason::none;
    /// When to come back; zero when another replica may be tried at once.
    std::chrono::milliseconds retry_after{};
    replica_feedback feedback;

    template <class Archive>
    void serialize(Archive& archive);
};

/// Entry node to owner: the ask is taken back, or its grant goes unused.
struct grant_cancelled {
    request_id request;
    std::uint32_t attempt = 0;
    endpoint_id replica;

    template <class Archive>
    void serialize(Archive& archive);
};

/// Entry node to owner: the granted request has ended.
struct grant_released {
    request_id request;
    std::uint32_t attempt = 0;
    endpoint_id replica;
    std::uint64_t grant = 0;
    /// Tokens that the answer had.
    std::uint32_t tokens = 0;
    /// False when the engine said that the adapter was not loaded.
    bool adapter_was_loaded = true;

    template <class Archive>
    void serialize(Archive& archive);
};

/// One grant that an entry node still uses or waits for.
struct grant_in_use {
    request_id request;
    std::uint32_t attempt = 0;
    endpoint_id replica;
    adapter_ref adapter;
    /// False while the entry node still waits for the grant.
    bool sent = false;

    template <class Archive>
    void serialize(Archive& archive);
};

/// Entry node to owner, every second: all that it has on the owner's replicas.
/// What is not named has ended, so that a lost release is repaired.
struct grant_heartbeat {
    std::vector<grant_in_use> grants;

    template <class Archive>
    void serialize(Archive& archive);
};

template <class Archive>
void grant_request::serialize(Archive& archive) {
    auto left = time_left.count();
    archive(
        request, attempt, replica, adapter, how_urgent, left, expected_tokens,
        prefix_hash, configuration);
    time_left = std::chrono::milliseconds(left);
}

template <class Archive>
void replica_feedback::serialize(Archive& archive) {
    auto wait = expected_wait.count();
    auto load = expected_load.count();
    archive(queued, running, wait, adapter_resident, load);
    expected_wait = std::chrono::milliseconds(wait);
    expected_load = std::chrono::milliseconds(load);
}

template <class Archive>
void grant_issued::serialize(Archive& archive) {
    auto within = send_within.count();
    auto waited = queued.count();
    archive(
        request, attempt, replica, grant, fencing, waited, within, feedback);
    queued = std::chrono::milliseconds(waited);
    send_within = std::chrono::milliseconds(within);
}

template <class Archive>
void grant_refused::serialize(Archive& archive) {
    auto after = retry_after.count();
    archive(request, attempt, replica, why, after, feedback);
    retry_after = std::chrono::milliseconds(after);
}

template <class Archive>
void grant_cancelled::serialize(Archive& archive) {
    archive(request, attempt, replica);
}

template <class Archive>
void grant_released::serialize(Archive& archive) {
    archive(request, attempt, replica, grant, tokens, adapter_was_loaded);
}

template <class Archive>
void grant_in_use::serialize(Archive& archive) {
    archive(request, attempt, replica, adapter, sent);
}

template <class Archive>
void grant_heartbeat::serialize(Archive& archive) {
    archive(grants);
}

} // namespace camphorpoint
