#pragma once

#include "Core/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace camphorpoint {

/// Kinds of resources that need exactly one owner at a time.
enum class resource_kind : std::uint8_t {
    /// A replica of a model engine: its adapter slots and its queue.
    replica,
    /// A weight store: its load budget.
    store,
    /// A shard of the idempotency key space.
    key_shard
};

/// Number of shards of the idempotency key space. It must be the same on all
/// nodes and must never change: with another number a key would map to an owner
/// that has no record of the key.
inline constexpr std::uint32_t key_shard_count = 256;

/// Identifies a resource that nodes can own.
struct resource_id {
    resource_kind kind = resource_kind::replica;
    std::string name;

    friend auto operator<=>(resource_id const&, resource_id const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(kind, name);
    }
};

/// @returns the id of the resource that stands for a replica of a model engine
resource_id replica_resource(endpoint_id const& replica);
/// @param name name of the weight store
/// @returns the id of the resource that stands for the weight store
resource_id store_resource(std::string name);
/// @param shard number of the shard, less than key_shard_count
/// @returns the id of the resource that stands for the shard
resource_id key_shard_resource(std::uint32_t shard);
/// @returns the id as text, such as replica/e1, for hashes and log lines
std::string to_string(resource_id const& resource);

} // namespace camphorpoint
