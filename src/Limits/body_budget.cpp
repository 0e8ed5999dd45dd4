#include "Limits/body_budget.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

body_budget::share::share(body_budget& from, std::function<void()> yield)
    : from_(from.shared_from_this())
    , yield_(std::move(yield))
    , place_(from.reading_.insert(from.reading_.end(), this)) {}

body_budget::share::~share() {
    if (complete_) {
        from_->held_by_complete_ -= bytes_;
    } else {
        from_->reading_.erase(place_);
    }
    from_->set(*this, 0);
}

bool body_budget::share::resize(std::size_t bytes, instant now) {
    note_arrival(now);
    if (bytes > bytes_ && !from_->make_room(*this, bytes, now)) {
        return false;
    }
    from_->set(*this, bytes);
    return true;
}

void body_budget::share::complete() {
    complete_ = true;
    yield_ = nullptr;
    from_->reading_.erase(place_);
    from_->held_by_complete_ += bytes_;
}

body_budget::body_budget(body_budget_limits limits)
    : limits_(limits) {
    constexpr std::size_t parts = 8;
    limits_.for_short = std::min(limits_.for_short, limits_.in_all / parts);
}

std::size_t body_budget::limit_for(std::size_t bytes) const noexcept {
    return bytes <= limits_.longest_short ? limits_.in_all
                                          : limits_.in_all - limits_.for_short;
}

bool body_budget::may_fit(std::size_t length) const noexcept {
    std::size_t const limit = limit_for(length);
    return length <= limit && held_by_complete_ <= limit - length;
}

void body_budget::set(share& of, std::size_t bytes) {
    held_ = held_ - of.bytes_ + bytes;
    of.bytes_ = bytes;
    peak_ = std::max(peak_, held_);
}

bool body_budget::make_room(
    share const& wanting, std::size_t bytes, instant now) {
    std::size_t const limit = limit_for(bytes);
    while (held_ - wanting.bytes_ + bytes > limit) {
        share* const yielding = find_yielding(wanting, bytes, now);
        if (yielding == nullptr) {
            return false;
        }
        set(*yielding, 0);
        ++yields_;
        yielding->yield_();
    }
    return true;
}

// A body that no longer arrives would end as too late. Among large bodies that
// arrive, the one that needs more is refused: were it the largest instead, then
// of many none would be read to its end.
body_budget::share* body_budget::find_yielding(
    share const& wanting, std::size_t bytes, instant now) const {
    auto const rank = [&](share const& of) {
        bool const pauses = now - of.arrived_at_ >= limits_.longest_pause;
        return std::pair(pauses, of.bytes_);
    };
    share* first = nullptr;
    for (share* const each : reading_) {
        if (each != &wanting && each->bytes_ > 0 &&
            (first == nullptr || rank(*first) < rank(*each))) {
            first = each;
        }
    }
    bool const is_short = bytes <= limits_.longest_short;
    bool const yields =
        first != nullptr &&
        (rank(*first).first || (is_short && first->bytes_ > bytes));
    return yields ? first : nullptr;
}

} // namespace camphorpoint
