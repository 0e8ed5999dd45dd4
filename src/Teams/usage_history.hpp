#pragma once

#include "Core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorpoint {

/// What this node's requests of one team were granted lately. While the node
/// that counts the team's usage does not answer, this node continues at its own
/// past rate: the sum over all nodes is then below what was granted before, and
/// needs neither a message nor the number of nodes.
class usage_history {
public:
    /// Records units that the counting node has granted.
    void add_granted(double units, instant now);
    /// Records that the counting node has denied a request.
    void mark_denied(instant now);
    /// Records that the counting node has answered, also with a denial.
    /// @param reported units used without a grant that the question reported
    void mark_answered(double reported, instant now);
    /// Records a question to a node that has left the last one unanswered:
    /// requests that arrive before its time-out do not ask as well.
    void mark_asked(instant now) {
        last_unanswered_ = unanswered_ ? now : last_unanswered_;
    }
    /// Records that the counting node has not answered.
    /// @param random_sample evenly distributed from 0 to 1. It decides how long
    ///        this node waits before its first request, so that all nodes
    ///        together keep their past rate from the start.
    void mark_unanswered(double random_sample, instant now);
    /// @returns true when the counting node has not answered lately and need
    ///          not be asked again yet
    bool presumed_unreachable(instant now) const;
    /// Grants the units of one request without the counting node.
    /// @returns true when the request is within this node's past rate
    bool take_unconfirmed(double units, instant now);
    /// @returns units used without a grant that have not been reported
    double unreported() const noexcept { return unreported_; }

private:
    static constexpr std::size_t step_count = 8;

    std::int64_t advance(instant now);

    /// Units granted per second of the window; a ring by second.
    std::array<double, step_count> granted_{};
    std::int64_t newest_step_ = 0;
    bool unanswered_ = false;
    instant last_unanswered_;
    instant denied_at_;
    /// Past rate, fixed when the counting node stopped answering.
    double rate_ = 0;
    double available_ = 0;
    /// Units of the request that was last granted.
    double last_units_ = 0;
    double unreported_ = 0;
    instant accrued_until_;
    instant answered_at_;
};

} // namespace camphorpoint
