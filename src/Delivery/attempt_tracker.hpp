#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorpoint {

/// Progress of one attempt at a replica.
enum class attempt_phase : std::uint8_t {
    /// No byte has been sent, so the replica cannot execute the request.
    unsent,
    /// Bytes have been sent: the replica may execute the request, now or later.
    sent,
    /// The replica reported that it has not executed the request and never
    /// will.
    not_executed,
    /// The replica has begun to answer, so it has executed the request.
    answering,
    /// The complete answer has been received.
    completed
};

/// What is known about the execution of one request over all its attempts. The
/// only place that decides whether a request may have run: retries, the resend
/// budget, the log and the answer to the caller all use it.
/// Prevents a request that is not idempotent, such as a booking, from running
/// twice, and from being reported as not run when it may have run: "not run" is
/// reported only while each attempt either was never sent or was refused by its
/// replica.
class attempt_tracker {
public:
    /// Names one attempt of the request.
    using attempt_number = std::size_t;

    /// @param idempotent true when executing the request twice does no harm
    /// @param sends      earlier attempts whose first byte was sent, by the
    ///                   node that has relayed the request
    explicit attempt_tracker(bool idempotent, unsigned sends = 0)
        : idempotent_(idempotent)
        , sends_(sends) {}

    /// Starts a further attempt. Earlier ones may still be in progress.
    attempt_number begin();
    /// Records that the first byte of the attempt is about to be sent, or may
    /// have been sent. A repetition changes nothing.
    void on_sent(attempt_number which);
    /// Records the replica's answer that it has not executed the attempt.
    void on_not_executed(attempt_number which);
    /// Records that the node to which the attempt was relayed has declined it,
    /// and has sent it to no replica.
    void on_declined(attempt_number which);
    /// Records that the replica has begun to answer.
    void on_answering(attempt_number which);
    /// Records that the attempt's answer has been received completely.
    void on_completed(attempt_number which);

    /// @returns true when another attempt cannot do harm
    bool may_resend() const noexcept { return idempotent_ || !may_run(); }
    /// @returns true when the request may have run, may be running or may still
    ///          run
    bool may_run() const noexcept;
    /// @returns number of attempts whose first byte was sent
    unsigned sends() const noexcept { return sends_; }

private:
    bool idempotent_;
    /// Of all attempts, by their numbers.
    std::vector<attempt_phase> phases_;
    unsigned sends_;
};

} // namespace camphorpoint
