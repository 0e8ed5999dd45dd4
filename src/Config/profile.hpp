#pragma once

#include "Core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace camphorpoint {

/// How urgent a profile's requests are; the most urgent comes first.
enum class urgency : std::uint8_t { immediate, high, normal, background };
/// How many urgency classes there are.
inline constexpr std::size_t urgency_count = 4;

/// What kind of endpoint answers a profile's requests.
enum class endpoint_kind : std::uint8_t { engine, service };

/// What a caller picks by name: which adapter and version answers, how urgent
/// the work is, and whether it may be repeated.
struct profile {
    profile_name name;
    endpoint_kind kind = endpoint_kind::engine;
    /// Base model of an engine profile, service name of a service profile.
    model_id model;
    /// Empty for a plain service.
    adapter_ref adapter;
    urgency how_urgent = urgency::normal;
    bool idempotent = true;
    /// Applies when the caller sends no deadline.
    std::chrono::milliseconds default_deadline{30'000};
    /// Grows with each accepted change of this profile; 0 before the first.
    std::uint64_t revision = 0;

    friend bool operator==(profile const&, profile const&) = default;

    template <class Archive>
    void serialize(Archive& archive);
};

/// @returns the class's code in declarations: immediate, high, ...
std::string_view to_string(urgency value) noexcept;
/// @param text an urgency's code
/// @returns the class, or nothing when the code is not known
std::optional<urgency> parse_urgency(std::string_view text) noexcept;

template <class Archive>
void profile::serialize(Archive& archive) {
    auto deadline = default_deadline.count();
    archive(
        name, kind, model, adapter, how_urgent, idempotent, deadline, revision);
    default_deadline = std::chrono::milliseconds(deadline);
}

} // namespace camphorpoint
