#include "Scheduling/batch_policy.hpp"

namespace camphorpoint {

namespace {

constexpr auto index_of(urgency value) {
    return static_cast<std::size_t>(value);
}

/// Returns true for the classes that may use the reserved slot.
constexpr bool may_use_reserve(std::size_t index) {
    return index <= index_of(urgency::high);
}

bool keeps_reserve(batch_state const& state, instant now) {
    class_state const& immediate = state.classes[index_of(urgency::immediate)];
    bool const recently_requested =
        immediate.last_request &&
        now - *immediate.last_request < urgent_first::reserve_period;
    return recently_requested &&
           state.batch_limit >= urgent_first::min_batch_with_reserve;
}

} // namespace

std::optional<urgency>
urgent_first::next_class(batch_state const& state, instant now) const {
    if (state.running >= state.batch_limit) {
        return std::nullopt;
    }
    // The last slot is reserved for urgent requests. Otherwise an urgent
    // request, such as a licence match, that arrives while the batch is full of
    // long answers would have to wait for one of them to complete.
    bool const last_place = state.running + 1 == state.batch_limit;
    bool const only_urgent = last_place && keeps_reserve(state, now);
    std::optional<urgency> best;
    for (std::size_t index = 0; index < urgency_count; ++index) {
        class_state const& each = state.classes[index];
        if (each.ready == 0 || (only_urgent && !may_use_reserve(index))) {
            continue;
        }
        bool const due = max_passed_over[index] > 0 &&
                         each.passed_over >= max_passed_over[index];
        if (due || !best) {
            best = static_cast<urgency>(index);
        }
    }
    return best;
}

std::optional<urgency>
strict_urgency::next_class(batch_state const& state, instant) const {
    if (state.running >= state.batch_limit) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < urgency_count; ++index) {
        if (state.classes[index].ready > 0) {
            return static_cast<urgency>(index);
        }
    }
    return std::nullopt;
}

} // namespace camphorpoint
