#include "Membership/quota_shares.hpp"

#include "Core/hash.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace {

constexpr quota_shares::amount full_limit = 1'000'000'000;
/// Number of latest requests whose replies are still accepted.
constexpr std::size_t max_open_requests = 8;

} // namespace

quota_shares::quota_shares(
    node_id self, std::size_t unit_count, quota_loan_times times)
    : self_(std::move(self))
    , unit_count_(unit_count)
    , times_(times) {}

void quota_shares::set_assigned_units(
    std::vector<std::size_t> const& own_units,
    std::vector<node_id> unit_holders, instant now) {
    std::erase_if(units_, [&](auto const& each) {
        return std::ranges::find(own_units, each.first) == own_units.end();
    });
    for (std::size_t const each : own_units) {
        units_.try_emplace(each, now + times_.activation_delay);
    }
    // Each node asks the holders in a different order, so that the borrowers
    // are spread evenly over the holders.
    auto const rank = [this](node_id const& each) {
        return combine_hashes(hash_text(self_.str()), hash_text(each.str()));
    };
    std::erase(unit_holders, self_);
    std::ranges::sort(unit_holders, {}, rank);
    unit_holders_ = std::move(unit_holders);
}

quota_shares::amount quota_shares::assigned_amount(instant now) const {
    auto const active_units = std::ranges::count_if(
        units_, [now](auto const& each) { return now >= each.second; });
    std::size_t const unit_amount =
        full_limit / std::max<std::size_t>(1, unit_count_);
    return static_cast<amount>(
        unit_amount * static_cast<std::size_t>(active_units));
}

// The largest unexpired loan counts: a borrower that got less at its last
// renewal may not have received that reply.
quota_shares::amount quota_shares::lent_to(borrower const& one, instant now) {
    amount most = 0;
    for (loan const& each : one.loans) {
        most = now < each.until ? std::max(most, each.granted) : most;
    }
    return most;
}

quota_shares::amount quota_shares::total_lent(instant now) const {
    amount sum = 0;
    for (auto const& [id, each] : borrowers_) {
        sum += lent_to(each, now);
    }
    return sum;
}

void quota_shares::remove_expired(instant now) {
    for (auto& [id, each] : borrowers_) {
        std::erase_if(
            each.loans, [now](loan const& one) { return now >= one.until; });
    }
    std::erase_if(borrowers_, [&](auto const& each) {
        return each.second.loans.empty() &&
               now >= each.second.last_request_at + times_.lease;
    });
}

quota_shares::amount
quota_shares::handle_loan_request(node_id const& from, instant now) {
    remove_expired(now);
    borrower& requester = borrowers_[from];
    requester.last_request_at = now;
    amount const assigned = assigned_amount(now);
    amount const others = total_lent(now) - lent_to(requester, now);
    amount const available = assigned > others ? assigned - others : 0;
    auto const equal_part =
        static_cast<amount>(assigned / (borrowers_.size() + 1));
    amount const lent = std::min(available, equal_part);
    requester.loans.push_back({lent, now + times_.lease});
    return lent;
}

std::optional<quota_shares::loan_request>
quota_shares::next_loan_request(instant now) {
    if (!units_.empty() || unit_holders_.empty() || now < next_request_at_) {
        return std::nullopt;
    }
    node_id const& to =
        unit_holders_[unanswered_requests_ % unit_holders_.size()];
    ++unanswered_requests_;
    next_request_at_ = now + times_.reply_timeout;
    open_requests_.push_back({++last_request_number_, now});
    if (open_requests_.size() > max_open_requests) {
        open_requests_.pop_front();
    }
    return loan_request{to, last_request_number_};
}

void quota_shares::handle_loan_reply(
    node_id const& from, std::uint32_t request_number, amount lent,
    instant now) {
    auto const request = std::ranges::find(
        open_requests_, request_number, &open_request::request_number);
    if (request == open_requests_.end()) {
        return;
    }
    // The lease counts from the request. The lender counts from its reply,
    // which is later, so it never regards a loan as expired too early.
    instant const until = request->at + times_.lease;
    open_requests_.erase(request);
    borrowed_loan& loan_from_holder = borrowed_loans_[from];
    if (request_number >= loan_from_holder.request_number) {
        loan_from_holder = {request_number, {lent, until}};
    }
    std::erase_if(borrowed_loans_, [now](auto const& each) {
        return now >= each.second.terms.until;
    });
    // A holder that had nothing to lend yet is asked again soon.
    unanswered_requests_ = 0;
    next_request_at_ =
        now + (lent > 0 ? times_.renewal_interval : times_.reply_timeout);
}

double quota_shares::current_share(instant now) const {
    amount const assigned = assigned_amount(now);
    amount const lent_out = total_lent(now);
    amount sum = assigned > lent_out ? assigned - lent_out : 0;
    for (auto const& [from, each] : borrowed_loans_) {
        sum += now < each.terms.until ? each.terms.granted : 0;
    }
    return static_cast<double>(sum) / full_limit;
}

} // namespace camphorpoint
