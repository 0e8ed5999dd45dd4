#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"
#include "Core/outcome.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace camphorpoint {

/// Entry node to owner: requests permission to run a request on the owner's
/// replica.
struct grant_request {
    request_id request;
    /// Number of this grant request among those of the same request. It
    /// identifies late replies to earlier grant requests.
    std::uint32_t attempt = 0;
    endpoint_id replica;
    adapter_ref adapter;
    urgency how_urgent = urgency::normal;
    /// Remaining time until the caller's deadline. A duration rather than a
    /// time, since the clocks of the nodes differ.
    std::chrono::milliseconds time_left{};
    /// Expected number of tokens in the answer.
    std::uint32_t expected_tokens = 0;
    /// Hash of the prompt's prefix for prefix-cache affinity; 0 if unknown.
    std::uint64_t prefix_hash = 0;
    /// Log offset of the configuration under which the request was admitted.
    log_offset configuration;

    template <class Archive>
    void serialize(Archive& archive);
};

/// State of the replica that an owner sends with each reply.
struct replica_feedback {
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    /// Expected wait of a new request whose adapter is resident.
    std::chrono::milliseconds expected_wait{};
    bool adapter_resident = false;
    /// Expected time until an adapter that is not resident would be loaded.
    std::chrono::milliseconds expected_load{};

    template <class Archive>
    void serialize(Archive& archive);
};

/// Owner to entry node: the request may run now.
struct grant_issued {
    request_id request;
    std::uint32_t attempt = 0;
    endpoint_id replica;
    /// Number of the grant, unique within one ownership.
    std::uint64_t grant = 0;
    /// Fencing number: the log offset of the claim under which the grant was
    /// issued.
    log_offset fencing;
    /// Time between the arrival of the grant request at the owner and the
    /// sending of this reply.
    std::chrono::milliseconds queued{};
    /// The entry node must send the request to the engine within this time
    /// after the owner sent this reply. The entry node computes the limit by
    /// its own clock: the time at which it sent the grant request, plus
    /// `queued`, plus this time. The limit holds however long the reply was in
    /// transit, because the grant request cannot have reached the owner before
    /// it was sent.
    std::chrono::milliseconds send_within{};
    replica_feedback feedback;

    template <class Archive>
    void serialize(Archive& archive);
};

/// Owner to entry node: the request may not run on this replica, and it has not
/// run there.
struct grant_refused {
    request_id request;
    std::uint32_t attempt = 0;
    endpoint_id replica;
    reason why = reason::none;
    /// Delay before a retry; zero if another replica may be tried at once.
    std::chrono::milliseconds retry_after{};
    replica_feedback feedback;

    template <class Archive>
    void serialize(Archive& archive);
};

/// Entry node to owner: cancels the grant request, or returns its grant unused.
struct grant_cancelled {
    request_id request;
    std::uint32_t attempt = 0;
    endpoint_id replica;

    template <class Archive>
    void serialize(Archive& archive);
};

/// Entry node to owner: the granted request has completed.
struct grant_released {
    request_id request;
    std::uint32_t attempt = 0;
    endpoint_id replica;
    std::uint64_t grant = 0;
    /// Number of tokens in the answer.
    std::uint32_t tokens = 0;
    /// False if the engine answered that the adapter was not loaded.
    bool adapter_was_loaded = true;

    template <class Archive>
    void serialize(Archive& archive);
};

/// A grant that an entry node uses or waits for.
struct grant_in_use {
    request_id request;
    std::uint32_t attempt = 0;
    endpoint_id replica;
    adapter_ref adapter;
    /// False while the entry node is waiting for the grant.
    bool sent = false;

    template <class Archive>
    void serialize(Archive& archive);
};

/// Entry node to owner, once per second: all grants that the node uses or waits
/// for on the owner's replicas. The owner ends every grant that is not listed,
/// which repairs the loss of a release message.
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
