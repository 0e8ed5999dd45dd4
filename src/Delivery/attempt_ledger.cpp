#include "Delivery/attempt_ledger.hpp"

#include <cassert>

namespace camphorpoint {

void attempt_ledger::begin() noexcept {
    earlier_may_run_ = may_run();
    phase_ = attempt_phase::unsent;
}

void attempt_ledger::written() noexcept {
    assert(may_send_again() && "a request that may run is sent once");
    phase_ = attempt_phase::written;
    ++sends_;
}

void attempt_ledger::not_executed() noexcept {
    assert(phase_ == attempt_phase::written && "only what was sent is refused");
    phase_ = attempt_phase::not_executed;
}

void attempt_ledger::answering() noexcept {
    assert(
        phase_ == attempt_phase::written && "only what was sent is answered");
    phase_ = attempt_phase::answering;
}

void attempt_ledger::ended() noexcept {
    assert(phase_ == attempt_phase::answering && "an answer begins first");
    phase_ = attempt_phase::ended;
}

} // namespace camphorpoint
