#pragma once

#include "Config/configuration_state.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint {

/// The most parts that a state may have; 64 MiB at config_message_bytes each.
inline constexpr std::uint32_t most_state_parts = 1'024;

/// Cuts a state into parts of bounded size.
/// @param state      what to cut
/// @param most_bytes bound of one part's JSON text
/// @returns at least one part; the last one bears the digest
std::vector<state_part>
split_state(configuration_state const& state, std::size_t most_bytes);

/// Puts states together from their parts, which may come twice, out of order,
/// interleaved with those of other senders, or not at all.
class state_assembler {
public:
    /// Takes one part.
    /// @param sender keeps the parts of different senders apart
    /// @returns the state when this part made it whole
    std::optional<configuration_state>
    add(std::string const& sender, state_part const& part);
    /// Drops what is half done.
    void clear() { open_.clear(); }

private:
    struct key {
        log_offset covers;
        std::string sender;
        std::uint32_t count = 0;
        friend auto operator<=>(key const&, key const&) = default;
    };
    using parts = std::map<std::uint32_t, state_part>;

    std::map<key, parts> open_;
};

} // namespace camphorpoint
