#include "Delivery/attempt_tracker.hpp"

#include <algorithm>
#include <cassert>

namespace camphorpoint {

attempt_tracker::attempt_number attempt_tracker::begin() {
    phases_.push_back(attempt_phase::unsent);
    return phases_.size() - 1;
}

bool attempt_tracker::may_run() const noexcept {
    return std::ranges::any_of(phases_, [](attempt_phase each) {
        return each != attempt_phase::unsent &&
               each != attempt_phase::not_executed;
    });
}

void attempt_tracker::on_sent(attempt_number which) {
    if (phases_.at(which) != attempt_phase::unsent) {
        return;
    }
    assert(may_resend() && "a request that may run is sent only once");
    phases_.at(which) = attempt_phase::sent;
    ++sends_;
}

void attempt_tracker::on_not_executed(attempt_number which) {
    assert(
        phases_.at(which) == attempt_phase::sent &&
        "only a sent attempt can be refused");
    phases_.at(which) = attempt_phase::not_executed;
}

void attempt_tracker::on_declined(attempt_number which) {
    on_not_executed(which);
    --sends_;
}

void attempt_tracker::on_answering(attempt_number which) {
    assert(
        phases_.at(which) == attempt_phase::sent &&
        "only a sent attempt can be answered");
    phases_.at(which) = attempt_phase::answering;
}

void attempt_tracker::on_completed(attempt_number which) {
    assert(
        phases_.at(which) == attempt_phase::answering &&
        "an answer starts before it completes");
    phases_.at(which) = attempt_phase::completed;
}

} // namespace camphorpoint
