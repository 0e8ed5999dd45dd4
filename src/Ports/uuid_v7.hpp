#pragma once

#include "Core/time.hpp"

#include <random>
#include <string>

namespace camphorpoint {

/// Makes a UUID that bears its time, as idempotency keys do.
/// Source: RFC 9562, section 5.7, "UUID Version 7".
/// @param when   the time it bears, in milliseconds
/// @param random the source of its other 74 bits
/// @returns its 36 characters
std::string make_uuid_v7(wall_time when, std::mt19937_64& random);

} // namespace camphorpoint
