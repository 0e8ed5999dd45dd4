#include "Membership/quota_shares.hpp"

#include "Core/hash.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace {

constexpr quota_shares::amount whole = 1'000'000'000;
/// Asks whose answers are still taken.
constexpr std::size_t most_open = 8;

} // namespace

quota_shares::quota_shares(
    node_id self, std::size_t total, quota_loan_times times)
    : self_(std::move(self))
    , total_(total)
    , times_(times) {}

void quota_shares::dealt(
    std::vector<std::size_t> const& own, std::vector<node_id> holders,
    instant now) {
    std::erase_if(parts_, [&](auto const& each) {
        return std::ranges::find(own, each.first) == own.end();
    });
    for (std::size_t const each : own) {
        parts_.try_emplace(each, now + times_.settling);
    }
    // Each node asks in an order of its own, so that borrowers spread evenly.
    auto const rank = [this](node_id const& each) {
        return combine_hashes(hash_text(self_.str()), hash_text(each.str()));
    };
    std::erase(holders, self_);
    std::ranges::sort(holders, {}, rank);
    holders_ = std::move(holders);
}

quota_shares::amount quota_shares::dealt_amount(instant now) const {
    auto const settled = std::ranges::count_if(
        parts_, [now](auto const& each) { return now >= each.second; });
    std::size_t const part = whole / std::max<std::size_t>(1, total_);
    return static_cast<amount>(part * static_cast<std::size_t>(settled));
}

// A borrower that was lent less at its last renewal may not have heard of it.
quota_shares::amount quota_shares::lent_to(borrower const& one, instant now) {
    amount most = 0;
    for (loan const& each : one.loans) {
        most = now < each.until ? std::max(most, each.lent) : most;
    }
    return most;
}

quota_shares::amount quota_shares::lent(instant now) const {
    amount sum = 0;
    for (auto const& [id, each] : borrowers_) {
        sum += lent_to(each, now);
    }
    return sum;
}

void quota_shares::forget_old(instant now) {
    for (auto& [id, each] : borrowers_) {
        std::erase_if(
            each.loans, [now](loan const& one) { return now >= one.until; });
    }
    std::erase_if(borrowers_, [&](auto const& each) {
        return each.second.loans.empty() &&
               now >= each.second.asked + times_.lease;
    });
}

quota_shares::amount quota_shares::on_ask(node_id const& from, instant now) {
    forget_old(now);
    borrower& asking = borrowers_[from];
    asking.asked = now;
    amount const all = dealt_amount(now);
    amount const others = lent(now) - lent_to(asking, now);
    amount const left = all > others ? all - others : 0;
    auto const equal = static_cast<amount>(all / (borrowers_.size() + 1));
    amount const given = std::min(left, equal);
    asking.loans.push_back({given, now + times_.lease});
    return given;
}

std::optional<quota_shares::question> quota_shares::ask(instant now) {
    if (!parts_.empty() || holders_.empty() || now < next_ask_) {
        return std::nullopt;
    }
    node_id const& to = holders_[unanswered_ % holders_.size()];
    ++unanswered_;
    next_ask_ = now + times_.answer;
    asks_.push_back({++last_number_, now});
    if (asks_.size() > most_open) {
        asks_.pop_front();
    }
    return question{to, last_number_};
}

void quota_shares::on_given(
    node_id const& from, std::uint32_t number, amount given, instant now) {
    auto const asked = std::ranges::find(asks_, number, &open_ask::number);
    if (asked == asks_.end()) {
        return;
    }
    // Counted from the asking: the lender counts from its answer, which is
    // later.
    instant const until = asked->at + times_.lease;
    asks_.erase(asked);
    borrowed& of = borrowed_[from];
    if (number >= of.number) {
        of = {number, {given, until}};
    }
    std::erase_if(borrowed_, [now](auto const& each) {
        return now >= each.second.what.until;
    });
    // One that has nothing to lend yet is asked again soon.
    unanswered_ = 0;
    next_ask_ = now + (given > 0 ? times_.renewal : times_.answer);
}

double quota_shares::own(instant now) const {
    amount const all = dealt_amount(now);
    amount const away = lent(now);
    amount sum = all > away ? all - away : 0;
    for (auto const& [from, each] : borrowed_) {
        sum += now < each.what.until ? each.what.lent : 0;
    }
    return static_cast<double>(sum) / whole;
}

} // namespace camphorpoint
