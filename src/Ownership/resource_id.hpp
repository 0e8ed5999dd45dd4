#pragma once

#include "Core/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace camphorpoint {

/// What needs exactly one decider at a time.
enum class resource_kind : std::uint8_t {
    /// A model engine's replica: its adapter slots and its queue.
    replica,
    /// A weight store: its load budget.
    store,
    /// A part of the idempotency key space.
    key_shard
};

/// How many parts the idempotency key space has. The same on all nodes for
/// good: a change would send a key to an owner that does not remember it.
inline constexpr std::uint32_t key_shard_count = 256;

/// Names one owned resource.
struct resource_id {
    resource_kind kind = resource_kind::replica;
    std::string name;

    friend auto operator<=>(resource_id const&, resource_id const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(kind, name);
    }
};

/// @returns the resource of a model engine's replica
resource_id replica_resource(endpoint_id const& replica);
/// @param name the store's name
/// @returns the resource of a weight store
resource_id store_resource(std::string name);
/// @param shard below key_shard_count
/// @returns the resource of a shard of the key space
resource_id key_shard_resource(std::uint32_t shard);
/// @returns the resource as text, such as replica/e1, for hashes and log lines
std::string to_string(resource_id const& resource);

} // namespace camphorpoint
