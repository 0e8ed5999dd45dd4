#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Ownership/resource_id.hpp"

#include <cstdint>
#include <optional>
#include <random>

namespace camphorpoint {

/// Names one of the parts of the key space; each has one owner.
/// There are key_shard_count of them.
using key_shard = std::uint16_t;
/// @param key an idempotency key in canonical form
/// @returns the shard that remembers it, the same on every node
key_shard key_shard_of(idempotency_key const& key) noexcept;

/// Writes a UUID in lower case, so that one key has one spelling; RFC 9562
/// allows both cases on input. Other keys stay as they are.
/// @returns the key's canonical form
idempotency_key canonical_key(idempotency_key const& key);

/// Reads the time at which a key was made.
/// Source: RFC 9562, section 5.7 (UUID version 7).
/// @param key a key in either case
/// @returns the time in the key, or nothing when it is no UUIDv7
std::optional<wall_time> parse_key_time(idempotency_key const& key);

/// Makes a key (UUIDv7) for a caller whose own clock is not to be relied on.
/// @param time   the node's calendar clock
/// @param random seeded generator
/// @returns the key
idempotency_key generate_key(wall_time time, std::mt19937_64& random);

} // namespace camphorpoint
