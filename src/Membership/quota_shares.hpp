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
    std::chrono::milliseconds settling{5'000};
    /// A loan is renewed after this.
    std::chrono::milliseconds renewal{2'000};
    /// An ask without answer goes to the next holder after this.
    std::chrono::milliseconds answer{400};
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
    struct question {
        node_id to;
        std::uint32_t number = 0;
    };

    /// @param self  this node
    /// @param total parts that the platform deals
    quota_shares(node_id self, std::size_t total, quota_loan_times times = {});

    /// The platform has dealt its parts anew.
    /// @param own     those of this node
    /// @param holders the nodes that have any
    void dealt(
        std::vector<std::size_t> const& own, std::vector<node_id> holders,
        instant now);
    /// @returns the ask that is due, if this node has no part of its own
    std::optional<question> ask(instant now);
    /// Another node asks.
    /// @returns what it is lent for the time of a lease
    amount on_ask(node_id const& from, instant now);
    /// A holder has answered.
    void on_given(
        node_id const& from, std::uint32_t number, amount given, instant now);

    /// @returns this node's part of the limit, from 0 to 1
    double own(instant now) const;

private:
    struct loan {
        amount lent = 0;
        instant until;
    };
    struct borrower {
        std::deque<loan> loans;
        instant asked;
    };
    struct borrowed {
        std::uint32_t number = 0;
        loan what;
    };
    struct open_ask {
        std::uint32_t number = 0;
        instant at;
    };

    amount dealt_amount(instant now) const;
    amount lent(instant now) const;
    static amount lent_to(borrower const& one, instant now);
    void forget_old(instant now);

    node_id self_;
    std::size_t total_;
    quota_loan_times times_;
    /// Own parts, and from when on each counts.
    std::map<std::size_t, instant> parts_;
    /// Holders in the order in which this node asks them.
    std::vector<node_id> holders_;
    std::map<node_id, borrower> borrowers_;
    std::map<node_id, borrowed> borrowed_;
    std::deque<open_ask> asks_;
    std::uint32_t last_number_ = 0;
    /// Asks in a row that had no answer.
    std::size_t unanswered_ = 0;
    instant next_ask_;
};

} // namespace camphorpoint
