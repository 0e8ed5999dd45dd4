#include "Limits/answer_budget.hpp"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace camphorpoint {

answer_budget::share::share(
    answer_budget& from, std::string server, callbacks calls)
    : from_(from.shared_from_this())
    , server_(std::move(server))
    , calls_(std::move(calls)) {
    from.shares_.push_back(this);
}

answer_budget::share::~share() {
    from_->release(*this);
}

bool answer_budget::share::grow(std::size_t bytes) {
    if (yields_) {
        return false;
    }
    std::size_t const more = bytes - bytes_;
    std::size_t const limit = from_->limit_for(bytes);
    waits_ = from_->held_ + more > limit;
    if (!waits_) {
        bytes_ = bytes;
        from_->add(more);
        return true;
    }
    std::size_t const for_reading = from_->left_by_complete(limit);
    bool one_yields = true;
    while (!yields_ && one_yields &&
           from_->held_by_reading() + more > for_reading) {
        one_yields = from_->yield_one();
    }
    return false;
}

void answer_budget::share::complete() {
    complete_ = true;
    calls_ = {};
}

answer_budget::answer_budget(answer_budget_limits limits)
    : limits_(limits) {}

void answer_budget::add(std::size_t bytes) {
    held_ += bytes;
    peak_ = std::max(peak_, held_);
}

void answer_budget::release(share& from) {
    held_ -= from.bytes_;
    shares_.remove(&from);
    if (from.bytes_ == 0) {
        return;
    }
    for (share* const each : shares_) {
        if (std::exchange(each->waits_, false)) {
            each->calls_.retry();
        }
    }
}

std::size_t answer_budget::limit_for(std::size_t bytes) const {
    return bytes <= limits_.longest_short ? limits_.in_all
                                          : limits_.in_all - limits_.for_short;
}

std::size_t answer_budget::held_by_reading() const {
    std::size_t sum = 0;
    for (share const* const each : shares_) {
        sum += each->is_reading() ? each->bytes_ : 0;
    }
    return sum;
}

// Answers that end wait for the callers of complete ones. Those without an end
// would wait with them, and hold what they have until their deadlines, so only
// complete answers that hold more than half of the memory are waited for.
std::size_t answer_budget::left_by_complete(std::size_t limit) const {
    std::size_t complete = 0;
    for (share const* const each : shares_) {
        complete += each->complete_ ? each->bytes_ : 0;
    }
    return std::max(limit - std::min(complete, limit), limit / 2);
}

bool answer_budget::yield_one() {
    std::map<std::string_view, std::size_t> by_server;
    for (share const* const each : shares_) {
        if (each->is_reading()) {
            by_server[each->server_] += each->bytes_;
        }
    }
    share* largest = nullptr;
    auto const rank = [&](share const& of) {
        return std::pair(by_server[of.server_], of.bytes_);
    };
    for (share* const each : shares_) {
        if (each->is_reading() && each->bytes_ > 0 &&
            (largest == nullptr || rank(*largest) < rank(*each))) {
            largest = each;
        }
    }
    if (largest == nullptr) {
        return false;
    }
    largest->yields_ = true;
    ++yields_;
    if (observer_) {
        observer_(
            {largest->server_, largest->bytes_, rank(*largest).first, held_});
    }
    largest->calls_.yield();
    return true;
}

} // namespace camphorpoint
