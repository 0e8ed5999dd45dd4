#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace camphorpoint {

/// Times of the leases under which nodes lend parts of a limit to each other.
struct quota_loan_times {
    /// How long a borrower may use a loan, counted from its request.
    std::chrono::milliseconds lease{4'000};
    /// Time from the assignment of a unit until the node uses or lends it. The
    /// former holder may use the unit until its own lease of the unit ends, and
    /// a node that borrowed from it one loan lease longer.
    std::chrono::milliseconds activation_delay{5'000};
    /// Time after a granted loan until the borrower requests the next one.
    std::chrono::milliseconds renewal_interval{2'000};
    /// Time without a reply after which the next holder is asked.
    std::chrono::milliseconds reply_timeout{400};
};

/// Quota share of this node in the limits that all nodes have in common.
/// The shares of all nodes together never exceed the limit, whatever messages
/// are lost and whichever nodes restart. Shares computed from the known members
/// would exceed it: after a restart of all nodes, under message loss or in a
/// network partition each node knows too few others and takes too much.
/// Instead, the platform divides each limit into units and assigns each unit to
/// one node at a time; a holder lends some of its share to nodes that have no
/// unit.
/// References: D. Barbara, H. Garcia-Molina, "The demarcation protocol", VLDB
/// Journal 3(3), 1994; C. Gray, D. Cheriton, "Leases", SOSP 1989.
class quota_shares {
public:
    /// Amount in billionths of the limit, rounded down so that the sum of all
    /// amounts does not exceed the limit through rounding.
    using amount = std::uint32_t;

    /// A request that this node is to send to a holder of units.
    struct loan_request {
        node_id to;
        std::uint32_t request_number = 0;
    };

    /// @param self id of this node
    /// @param unit_count number of units into which the platform divides a
    /// limit
    /// @param times times of the loans
    quota_shares(
        node_id self, std::size_t unit_count, quota_loan_times times = {});

    /// Applies a new assignment of the units by the platform.
    /// @param own_units units assigned to this node
    /// @param unit_holders nodes that have at least one unit
    void set_assigned_units(
        std::vector<std::size_t> const& own_units,
        std::vector<node_id> unit_holders, instant now);
    /// @returns the loan request that is due; nothing if this node has a unit
    /// of its own, knows no holder, or has sent a request recently
    std::optional<loan_request> next_loan_request(instant now);
    /// Handles a loan request of another node.
    /// @returns the amount lent for the time of a lease; may be 0
    amount handle_loan_request(node_id const& from, instant now);
    /// Handles the reply of a holder. A reply to no open request is ignored.
    void handle_loan_reply(
        node_id const& from, std::uint32_t request_number, amount lent,
        instant now);

    /// @returns the quota share that this node may use now, from 0 to 1: its
    /// own active units less what it has lent, plus what it has borrowed
    double current_share(instant now) const;

private:
    struct loan {
        amount granted = 0;
        instant until;
    };
    struct borrower {
        std::deque<loan> loans;
        instant last_request_at;
    };
    struct borrowed_loan {
        std::uint32_t request_number = 0;
        loan terms;
    };
    struct open_request {
        std::uint32_t request_number = 0;
        instant at;
    };

    amount assigned_amount(instant now) const;
    amount total_lent(instant now) const;
    static amount lent_to(borrower const& one, instant now);
    void remove_expired(instant now);

    node_id self_;
    std::size_t unit_count_;
    quota_loan_times times_;
    /// Own units, and the time from which each may be used.
    std::map<std::size_t, instant> units_;
    /// Holders in the order in which this node asks them for loans.
    std::vector<node_id> unit_holders_;
    std::map<node_id, borrower> borrowers_;
    std::map<node_id, borrowed_loan> borrowed_loans_;
    std::deque<open_request> open_requests_;
    std::uint32_t last_request_number_ = 0;
    /// Consecutive requests without a reply.
    std::size_t unanswered_requests_ = 0;
    instant next_request_at_;
};

} // namespace camphorpoint
