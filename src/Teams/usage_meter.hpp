#pragma once

#include "Core/time.hpp"
#include "Teams/team_definition.hpp"

namespace camphorpoint {

/// Answer to a request that asks for units of its team's usage cap.
struct usage_decision {
    bool granted = false;
    /// When denied, the time after which the same request would be granted if
    /// no other one came first.
    duration retry_after{0};
};

/// Counts the usage of one team against its cap. One node keeps it for all
/// nodes: the equal share of a small cap on each of many nodes is less than one
/// request.
///
/// In any period T the granted units are at most `per_second * T + burst`.
/// While requests are denied that are larger than the burst, the largest of
/// them takes its place in this sum, up to 10,000 units: such requests would
/// never be granted otherwise. Reference: token bucket, RFC 2697.
class usage_meter {
public:
    /// @param cap   a cap that limits
    /// @param since time from which this meter alone grants units. It has no
    ///              burst at first, because another node may have granted it
    ///              just before.
    usage_meter(usage_cap const& cap, instant since);

    /// Sets the part of the rate that is available to this meter from now on.
    /// @param fraction above 0 and at most 1
    void set_fraction(double fraction, instant now);
    /// Changes the cap. A lower one applies to all units that are not granted
    /// yet.
    void set_cap(usage_cap const& cap, instant now);
    /// Grants the units of one request, or none.
    /// @param units what the request uses
    usage_decision take(double units, instant now);
    /// Deducts units that were used without being granted here.
    void charge(double units, instant now);
    /// Returns the units of a request that was granted and has not run.
    void give_back(double units, instant now);

private:
    void accrue(instant now);
    /// @returns the units that accrue at most
    double capacity(instant now) const;

    double per_second_;
    double burst_;
    double fraction_ = 1;
    double available_ = 0;
    /// Units that have accrued lately beyond the capacity. What was used
    /// without a grant is deducted from them first.
    double unused_ = 0;
    /// The largest request denied lately, and until when it counts.
    double largest_denied_ = 0;
    instant largest_denied_until_;
    instant accrued_until_;
};

} // namespace camphorpoint
