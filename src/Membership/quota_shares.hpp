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

/// Times of the leases under which parts of a limit are lent.
struct quota_loan_times {
    /// How long a node may use what it was lent, from its asking on.
    std::chrono::milliseconds lease{4'000};
    /// How long a part that was dealt waits before it is used or lent: who had
    /// it before may use it until its own lease is over, and what was lent of
    /// it until a lease later.
    std::chrono::milliseconds activation_delay{5'000};
    /// A loan is renewed after this.
    std::chrono::milliseconds renewal_interval{2'000};
    /// An ask without answer goes to the next holder after this.
    std::chrono::milliseconds reply_timeout{400};
};

/// Which part of a limit that all nodes share this node may use. Guards against
/// nodes that compute their shares from whom they know: after a restart of all,
/// under loss or a cut, each knows too few and takes too much. It holds because
/// shares are not computed: the platform deals parts, each to one node at a
/// time, and a holder lends of its own what it does not use meanwhile. The
/// shares add up to the limit at most, whatever gets lost or starts anew.
/// References: D. Barbara, H. Garcia-Molina, "The demarcation protocol", VLDB
/// Journal 3(3), 1994; C. Gray, D. Cheriton, "Leases", SOSP 1989.
class quota_shares {
public:
    /// Amounts are in billionths of the limit, rounded down, so that they add
    /// up without error.
    using amount = std::uint32_t;

    /// An ask to a holder of parts.
    struct loan_request {
        node_id to;
        std::uint32_t request_number = 0;
    };

    /// @param self  this node
    /// @param total parts that the platform deals
    quota_shares(
        node_id self, std::size_t unit_count, quota_loan_times times = {});

    /// The platform has dealt its parts anew.
    /// @param own     those of this node
    /// @param holders the nodes that have any
    void set_assigned_units(
        std::vector<std::size_t> const& own_units,
        std::vector<node_id> unit_holders, instant now);
    /// @returns the ask that is due, if this node has no part of its own
    std::optional<loan_request> next_loan_request(instant now);
    /// Another node asks.
    /// @returns what it is lent for the time of a lease
    amount handle_loan_request(node_id const& from, instant now);
    /// A holder has answered.
    void handle_loan_reply(
        node_id const& from, std::uint32_t request_number, amount lent,
        instant now);

    /// @returns this node's part of the limit, from 0 to 1
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
    /// Own parts, and from when on each counts.
    std::map<std::size_t, instant> units_;
    /// Holders in the order in which this node asks them.
    std::vector<node_id> unit_holders_;
    std::map<node_id, borrower> borrowers_;
    std::map<node_id, borrowed_loan> borrowed_loans_;
    std::deque<open_request> open_requests_;
    std::uint32_t last_request_number_ = 0;
    /// Asks in a row that had no answer.
    std::size_t unanswered_requests_ = 0;
    instant next_request_at_;
};

} // namespace camphorpoint
