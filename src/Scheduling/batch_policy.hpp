#pragma once

#include "Config/profile.hpp"
#include "Core/time.hpp"

#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace camphorpoint {

/// The state of one urgency class as seen by a batch policy.
struct class_state {
    /// Requests that could run at once if the batch had capacity.
    std::size_t ready = 0;
    /// Number of grants that more urgent classes received since the last grant
    /// of this class, counted while this class had ready requests.
    std::uint32_t passed_over = 0;
    /// Time of the last request of this class.
    std::optional<instant> last_request;
};

/// The state of a replica's batch as seen by a batch policy.
struct batch_state {
    std::uint32_t batch_limit = 0;
    std::uint32_t running = 0;
    std::array<class_state, urgency_count> classes;
};

/// Chooses the class that receives the next available slot of the batch.
template <class Policy>
concept batch_policy = std::default_initializable<Policy> &&
    requires(Policy const& policy, batch_state const& state, instant now) {
    { policy.next_class(state, now) } -> std::same_as<std::optional<urgency>>;
};

/// Serves the most urgent class first, with two exceptions. A class that was
/// passed over too often receives the next slot, so that no class starves. If
/// an immediate request arrived recently, the last slot of a large batch is
/// reserved for the classes `immediate` and `high`.
struct urgent_first {
    /// Number of grants to more urgent classes after which a class receives the
    /// next slot; 0 for the most urgent class, which is never passed over.
    static constexpr std::array<std::uint32_t, urgency_count> max_passed_over{
        0, 16, 16, 32};
    /// Smaller batches reserve no slot.
    static constexpr std::uint32_t min_batch_with_reserve = 12;
    /// A slot is reserved if the last immediate request arrived within this
    /// time.
    static constexpr std::chrono::seconds reserve_period{5};

    std::optional<urgency>
    next_class(batch_state const& state, instant now) const;
};

/// Serves the classes strictly by urgency; less urgent classes may starve.
struct strict_urgency {
    std::optional<urgency>
    next_class(batch_state const& state, instant now) const;
};

static_assert(batch_policy<urgent_first>);
static_assert(batch_policy<strict_urgency>);

} // namespace camphorpoint
