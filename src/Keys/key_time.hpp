#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Ownership/resource_id.hpp"

#include <cstdint>
#include <optional>
#include <random>

namespace camphorpoint {

/// Number of a shard of the key space, below key_shard_count. Each shard has
/// one owner at a time.
using key_shard = std::uint16_t;
/// @param key an idempotency key in canonical form
/// @returns the shard that the key belongs to, the same on every node
key_shard key_shard_of(idempotency_key const& key) noexcept;

/// Converts a UUID to lower case, so that each key has one spelling; RFC 9562
/// allows both cases on input. Keys that are not UUIDs are returned unchanged.
/// @param key a key in either case
/// @returns the canonical form of the key
idempotency_key canonical_key(idempotency_key const& key);

/// Extracts the time at which a key was created.
/// Source: RFC 9562, section 5.7 (UUID version 7).
/// @param key a key in either case
/// @returns the time in the key, or nothing when the key is not a UUIDv7
std::optional<wall_time> parse_key_time(idempotency_key const& key);

/// Generates a key (UUIDv7) for a caller whose own clock is unreliable.
/// @param time   the node's calendar time
/// @param random seeded generator
/// @returns the key
idempotency_key generate_key(wall_time time, std::mt19937_64& random);

} // namespace camphorpoint
