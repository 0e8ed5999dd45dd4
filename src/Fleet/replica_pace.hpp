#pragma once

#include "Core/time.hpp"
#include "Fleet/attempt_report.hpp"
#include "Fleet/recent_samples.hpp"
#include "Fleet/replica_record.hpp"

#include <optional>
#include <span>

namespace camphorpoint {

/// How long a replica takes for work, as its controller has measured it. Zero
/// stands for unknown.
struct pace_measure {
    /// Time between two events of a stream while the batch is half full.
    duration event_interval{0};
    /// Time by which one more prompt token delays the first output.
    duration token_time{0};
};

/// Learns from the attempts of all nodes how long one replica takes for work.
/// Guards against slow replicas that get as many requests as others because
/// only slots are counted: their streams pause for longer than callers accept.
class replica_pace {
public:
    /// Follows how full the batch is, since a fuller batch takes longer for a
    /// step.
    /// @param load running requests per slot
    void set_load(double load, instant now);
    /// Names the process that runs at the replica. Another process begins with
    /// no samples: it may run on another machine.
    void set_process(std::optional<incarnation> process);
    /// Learns from an attempt that has ended there.
    void add(attempt_report const& report, instant now);
    /// @returns what is known now
    pace_measure measure(instant now) const {
        return empty(now) ? pace_measure() : measure_;
    }
    /// @returns true when there are no samples
    bool empty(instant now) const;

private:
    /// @returns the mean load while the latest answers were written
    double mean_load(instant now) const;
    pace_measure computed_measure(instant now) const;

    std::optional<incarnation> process_;
    /// Logarithms of event intervals, by load: a machine that is twice as slow
    /// takes twice as long at any load.
    recent_samples intervals_;
    /// Times to the first output, by prompt tokens.
    recent_samples first_outputs_;
    /// As of the latest sample, since it is read more often than it changes.
    pace_measure measure_;
    double load_ = 0;
    double mean_load_ = 0;
    instant load_since_;
};

/// How long a replica takes for work, as the node that chooses sees it.
struct replica_speed {
    /// What the time for a prompt token is taken for while nothing is known of
    /// the replica's service. It is a conservative default: most engines take
    /// less.
    static constexpr duration default_token_time =
        std::chrono::microseconds(50);

    /// Time for work relative to the median replica of the service.
    double pace = 1;
    /// Time for a prompt token.
    duration token_time = default_token_time;
};

/// @returns how full a replica is, by the time that its requests take: the load
///          times the pace while slots are free, and 1 with a full batch
///          whatever the pace. Guards against fast replicas at which requests
///          queue while slow ones have free slots.
/// @param load running requests per slot
double load_in_time(double load, double pace);

/// What is known of the replicas of one service together. Only a node that
/// chooses sees all of them, so it is the one to compare them.
class service_pace {
public:
    service_pace() = default;
    /// @param of measures of the service's replicas
    explicit service_pace(std::span<pace_measure const> of);
    /// @returns the speed of a replica; that of the median one when nothing is
    ///          known of it
    replica_speed speed(pace_measure const& of) const;

private:
    duration interval_{0};
    duration token_time_{0};
};

} // namespace camphorpoint
