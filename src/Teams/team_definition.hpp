#pragma once

#include "Core/strong_string.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint {

/// Names a team: a group of callers that share API keys and a usage cap.
using team_id = strong_string<struct team_id_tag>;

/// What a usage cap counts.
enum class usage_unit : std::uint8_t { requests, tokens };

/// Upper limit of what a team may use, over all nodes together.
struct usage_cap {
    usage_unit unit = usage_unit::requests;
    /// Units per second; 0 for no limit.
    double per_second = 0;
    /// Units that may be used at once after an idle period.
    double burst = 0;
    /// Tokens of a request that does not state them.
    std::uint32_t default_tokens = 1;

    /// @returns true when the cap limits anything
    bool limited() const noexcept { return per_second > 0; }
    /// @param tokens what the request states, nothing when it states none
    /// @returns the units that a request uses
    double units_of(std::optional<std::uint64_t> tokens) const {
        return unit == usage_unit::requests
                   ? 1.0
                   : static_cast<double>(tokens.value_or(default_tokens));
    }
};

/// A team as the operator declares it.
struct team_definition {
    team_id name;
    std::vector<std::string> api_keys;
    /// Urgency of the team's requests, 0 for the most urgent; nothing when the
    /// route decides.
    std::optional<unsigned> priority;
    usage_cap cap;
};

} // namespace camphorpoint
