#pragma once

#include "Core/time.hpp"
#include "Teams/team_definition.hpp"
#include "Teams/usage_meter.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace camphorpoint {

/// Returns the part of a cap that a new counting node grants while the former
/// one may not have noticed that it no longer counts the team. Both grant the
/// whole cap for less than a second after a single change, which the platform
/// tolerates in a window of some seconds; it does not tolerate that several
/// times.
/// @param former_change when the counting node had changed before, as far as is
///                      known
double
settling_usage_fraction(std::optional<instant> former_change, instant now);

/// A node's question whether a request is within its team's cap.
struct usage_question {
    /// Identifies the question among those of all nodes; a repeated question
    /// has the same.
    std::uint64_t id = 0;
    /// The team's hash.
    std::uint64_t team = 0;
    /// What the request uses.
    double units = 0;
    /// What the node has used without a grant since it was last answered.
    double unreported = 0;
};

/// The meters of the teams that one node counts for all nodes.
class usage_counter {
public:
    /// Grants the units of one request, or none.
    /// @param cap      the team's cap, which limits
    /// @param since    time from which this node alone counts the team
    /// @param fraction part of all nodes that this node is in contact with
    /// @returns the decision; for a repeated question the earlier one
    usage_decision take(
        usage_question const& question, usage_cap const& cap, instant since,
        double fraction, instant now);
    /// Returns units that were granted and not used.
    void give_back(std::uint64_t team, double units, instant now);
    /// @returns the number of teams counted
    std::size_t size() const noexcept { return meters_.size(); }

private:
    struct counted_team {
        usage_meter meter;
        instant since;
    };

    struct recent_decision {
        std::uint64_t question = 0;
        instant at;
    };

    std::unordered_map<std::uint64_t, counted_team> meters_;
    /// Decisions whose questions may be repeated, by question.
    std::unordered_map<std::uint64_t, usage_decision> decisions_;
    std::deque<recent_decision> recent_;
};

/// Returns the part of a cap that a counting node may grant, by the nodes that
/// it is in contact with. Guards against two groups of nodes, cut off from each
/// other, that each use a whole cap.
/// @param reachable nodes from which messages arrive, including this one
/// @param known     nodes that have sent a message lately, including this one
/// @returns a number above 0 and at most 1
double grantable_fraction(std::size_t reachable, std::size_t known);

} // namespace camphorpoint
