#pragma once

#include "Config/profile.hpp"
#include "Core/time.hpp"

#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace camphorpoint {

/// What a batch policy sees of one urgency class.
struct class_state {
    /// Requests that could run at once if the batch had room.
    std::size_t ready = 0;
    /// Grants that went to more urgent classes since this one's last grant,
    /// while it had ready requests.
    std::uint32_t passed_over = 0;
    /// When the class was last asked for.
    std::optional<instant> last_request;
};

/// What a batch policy sees.
struct batch_state {
    std::uint32_t batch_limit = 0;
    std::uint32_t running = 0;
    std::array<class_state, urgency_count> classes;
};

/// Chooses the class that the next place in the batch goes to.
template <class Policy>
concept batch_policy = std::default_initializable<Policy> &&
    requires(Policy const& policy, batch_state const& state, instant now) {
    { policy.next_class(state, now) } -> std::same_as<std::optional<urgency>>;
};

/// The most urgent class first; a class that was passed over too often gets
/// the next place, so that each keeps a small share; while immediate work is
/// about, the last place of a large batch is kept for urgent classes.
struct urgent_first {
    /// Grants to more urgent classes between two of a class.
    static constexpr std::array<std::uint32_t, urgency_count> max_passed_over{
        0, 16, 16, 32};
    /// Batches below this size keep no place free.
    static constexpr std::uint32_t min_batch_with_reserve = 12;
    /// Immediate work is about when some came within this time.
    static constexpr std::chrono::seconds reserve_period{5};

    std::optional<urgency>
    next_class(batch_state const& state, instant now) const;
};

/// In the order of urgency and nothing else: lower classes may starve.
struct strict_urgency {
    std::optional<urgency>
    next_class(batch_state const& state, instant now) const;
};

static_assert(batch_policy<urgent_first>);
static_assert(batch_policy<strict_urgency>);

} // namespace camphorpoint
