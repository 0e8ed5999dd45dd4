#pragma once

#include <cstdint>

namespace camphorpoint {

/// How far one attempt at a replica has come.
enum class attempt_phase : std::uint8_t {
    /// No byte has left this node: it cannot run.
    unsent,
    /// Bytes have left: it may run, now or later.
    sent,
    /// The replica said that it has not run it and never will.
    not_executed,
    /// The replica has begun to answer: it has run.
    answering,
    /// The answer has come whole.
    completed
};

/// What is known of one request over all its attempts. The only place that
/// decides whether a request has run; retries, the second-send budget, the log
/// and the answer all ask it. Guards against a booking that runs twice, or that
/// its caller is told has not run: it holds because "not run" can be said only
/// while each attempt is unsent or was refused by its replica.
class attempt_tracker {
public:
    /// @param idempotent a second run does no harm
    explicit attempt_tracker(bool idempotent)
        : idempotent_(idempotent) {}

    /// A further attempt begins; the one before must have come to its end.
    void begin() noexcept;
    /// The attempt's first byte is about to leave.
    void on_sent() noexcept;
    /// The replica said that it has not run the attempt.
    void on_not_executed() noexcept;
    /// The replica has begun to answer.
    void on_answering() noexcept;
    /// The attempt's answer is whole.
    void on_completed() noexcept;

    /// @returns true when one more attempt can do no harm
    bool may_resend() const noexcept { return idempotent_ || !may_run(); }
    /// @returns true when the request may have run, may be running, or may run
    bool may_run() const noexcept {
        return earlier_attempt_may_run_ || current_may_run();
    }
    /// @returns where the newest attempt stands
    attempt_phase phase() const noexcept { return phase_; }
    /// @returns attempts whose first byte was sent
    unsigned sends() const noexcept { return sends_; }

private:
    bool current_may_run() const noexcept {
        return phase_ != attempt_phase::unsent &&
               phase_ != attempt_phase::not_executed;
    }

    bool idempotent_;
    bool earlier_attempt_may_run_ = false;
    attempt_phase phase_ = attempt_phase::unsent;
    unsigned sends_ = 0;
};

} // namespace camphorpoint
