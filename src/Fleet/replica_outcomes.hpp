#pragma once

#include "Core/time.hpp"
#include "Fleet/attempt_report.hpp"

#include <chrono>

namespace camphorpoint {

/// What the outcome of an attempt has changed.
enum class avoidance_change : unsigned char { none, began, ended };

/// The outcomes of all nodes' attempts at one replica, kept by its controller,
/// and the decision when the replica is avoided and when it is tried again.
/// Guards against a replica that fails at once and therefore looks empty: if
/// each node learned of it from its own attempts, and tried it again by itself,
/// the number of failed attempts would grow with the number of nodes.
class replica_outcomes {
public:
    /// Adds a node's report of an attempt that has ended there.
    avoidance_change add(attempt_report const& report, instant now);
    /// @returns the probability that the next attempt fails, 0 to 1
    double failure_probability(instant now) const;
    /// @returns true while requests should be sent elsewhere
    bool avoided() const noexcept { return avoided_; }
    /// Permits the asking node one attempt at an avoided replica, when one is
    /// due.
    /// @param suitable true for a request that loses little by a failure; other
    ///                 requests are permitted only when there is none
    /// @returns true when the node may send its request there
    bool take_probe(bool suitable, instant now);
    /// @returns true when nothing that is known here still matters
    bool forgettable(instant now) const;

    /// @returns the recent attempts that have failed; older ones count less
    double failed_attempts(instant now) const;
    /// @returns the recent attempts that were answered
    double answered_attempts(instant now) const;
    /// @returns the probes that were permitted since the replica is avoided
    unsigned probes() const noexcept { return probes_; }
    /// @returns true for a while after answered probes have shown that the
    ///          replica has recovered
    bool readmitted(instant now) const {
        return !avoided_ && readmitted_at_ != instant{} &&
               now < readmitted_at_ + readmission_notice;
    }
    /// @returns when the replica began to be avoided
    instant avoided_since() const noexcept { return avoided_since_; }

private:
    /// Nodes that ask or hear a broadcast within it learn of the recovery: one
    /// of 1,900 nodes asks for a replica in tens of seconds.
    static constexpr duration readmission_notice = std::chrono::seconds(60);

    double remaining(instant now) const;
    void count(bool failed, instant now);
    void begin_avoidance(instant now);
    avoidance_change add_probe(bool failed, instant now);

    double failed_ = 0;
    double answered_ = 0;
    instant updated_at_;
    bool avoided_ = false;
    instant avoided_since_;
    instant readmitted_at_;
    instant next_probe_at_;
    unsigned probes_ = 0;
    /// Probes that were answered, with no failed one between them.
    unsigned answered_probes_ = 0;
    /// The latest probe that ended was answered, and none was permitted since.
    bool probe_follows_ = false;
};

} // namespace camphorpoint
