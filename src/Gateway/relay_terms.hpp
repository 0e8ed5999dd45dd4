#pragma once

#include "Core/software_key.hpp"
#include "Teams/team_definition.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// What an entry node that reaches no replica tells the peer to which it
/// relays a request, so that both together count it once.
struct relay_terms {
    /// Sends of the request to replicas before it was relayed.
    unsigned sends = 0;
    /// The entry node has earned credit for resends with the request.
    bool counted = false;
    /// By the entry node's configuration the request may run twice.
    bool idempotent = false;
    /// Software version at which the stream must go on; nothing when the
    /// request begins it.
    std::optional<software_key> software;
    /// The team of the caller's API key, whose usage cap has granted the
    /// request; empty for an anonymous caller.
    team_id team;
    /// The team's urgency; nothing when the route decides.
    std::optional<unsigned> priority;
};

/// Value of the relay field in an answer of a peer that has not handled the
/// request: it reaches no replica either, or lacks declarations.
inline constexpr std::string_view relay_declined = "declined";

/// Value of the relay field in an answer by which a peer itself refuses the
/// request: no replica has run it or will. An answer that a peer passes on from
/// a replica has neither value.
inline constexpr std::string_view relay_refused = "refused";

/// @returns the value of the relay field of a peer's answer: the software
///          version of the replica that writes the stream
std::string encode_relayed_software(software_key software);
/// @returns the software version; nothing when the text is not in this form
std::optional<software_key> decode_relayed_software(std::string_view text);

/// @returns the value of the relay field of a request
std::string encode(relay_terms const& terms);
/// @returns the terms; nothing when the text is not in this form
std::optional<relay_terms> decode_relay_terms(std::string_view text);

} // namespace camphorpoint
