#pragma once

#include "Config/configuration_state.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// The profiles that a node has in force, as its operator interface lists them
/// (GET /profiles): what a plan is worked out from.
struct profile_listing {
    /// One past the newest record of the configuration stream that is applied.
    log_offset next;
    std::uint64_t digest = 0;
    /// Profiles and tombstones, in order of name.
    std::vector<profile_state> profiles;
};

/// @returns the listing's JSON text
std::string encode(profile_listing const& listing);
/// @returns the listing, or nothing when the text has another form
std::optional<profile_listing> decode_profile_listing(std::string_view text);

} // namespace camphorpoint
