#include "Delivery/attempt_tracker.hpp"

#include <cassert>

namespace camphorpoint {

void attempt_tracker::begin() noexcept {
    earlier_attempt_may_run_ = may_run();
    phase_ = attempt_phase::unsent;
}

void attempt_tracker::on_sent() noexcept {
    assert(may_resend() && "a request that may run is sent only once");
    phase_ = attempt_phase::sent;
    ++sends_;
}

void attempt_tracker::on_not_executed() noexcept {
    assert(
        phase_ == attempt_phase::sent && "only a sent attempt can be refused");
    phase_ = attempt_phase::not_executed;
}

void attempt_tracker::on_declined() noexcept {
    on_not_executed();
    --sends_;
}

void attempt_tracker::on_answering() noexcept {
    assert(
        phase_ == attempt_phase::sent && "only a sent attempt can be answered");
    phase_ = attempt_phase::answering;
}

void attempt_tracker::on_completed() noexcept {
    assert(
        phase_ == attempt_phase::answering &&
        "an answer starts before it completes");
    phase_ = attempt_phase::completed;
}

} // namespace camphorpoint
