#include "test/support/usage_simulation.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <utility>

namespace camphorpoint::testing {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds answer_timeout{30};
constexpr int max_questions = 2;
constexpr milliseconds settling{700};
constexpr milliseconds contact_timeout{3'500};
constexpr std::uint64_t team = 1;
/// A loan expires after this time; its unused part goes back.
constexpr seconds loan_time{1};
/// Nodes report their usage, and learn that the cap is reached, at this
/// interval.
constexpr milliseconds report_interval{100};

struct grant {
    instant at;
    double units = 0;
};

struct simulated_node {
    usage_history history;
    bool cut = false;
    /// Of the policy `lent`.
    double loan = 0;
    instant loan_ends;
    double recent_demand = 0;
    instant demand_since;
};

class simulation {
public:
    simulation(usage_scenario const& scenario, std::uint64_t seed)
        : scenario_(scenario)
        , cap_(scenario.cap)
        , random_(seed)
        , nodes_(scenario.nodes)
        , leased_(
              scenario.loss, scenario.nodes, scenario.lost_datagrams, begin_,
              seed)
        , own_shares_(
              scenario.policy == usage_policy::equal_shares ? scenario.nodes
                                                            : 0,
              usage_meter(share_of(scenario.cap), begin_)) {
        for (std::size_t each = 0; each < nodes_.size(); ++each) {
            nodes_[each].cut =
                static_cast<double>(each) <
                scenario.cut_nodes * static_cast<double>(nodes_.size());
            cut_nodes_ += nodes_[each].cut ? 1 : 0;
        }
    }

    usage_result run() {
        double const mean = 0.5 * (scenario_.min_units + scenario_.max_units);
        std::uniform_int_distribution<unsigned> size(
            scenario_.min_units, scenario_.max_units);
        while (now_ < begin_ + scenario_.length) {
            std::exponential_distribution<> gap(
                demand() * scenario_.cap.per_second / mean);
            now_ += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(gap(random_)));
            change_cap();
            if (scenario_.loss.nodes > 0) {
                leased_.advance(now_);
            }
            double const units = size(random_);
            simulated_node& node = nodes_[random_() % nodes_.size()];
            ideal_ += ideal_meter_.take(units, now_).granted ? units : 0;
            asked_for_ += units;
            if (decide(node, units)) {
                grants_.push_back({now_, units});
            }
        }
        return result();
    }

private:
    usage_cap share_of(usage_cap cap) const {
        cap.per_second /= scenario_.nodes;
        cap.burst /= scenario_.nodes;
        return cap;
    }
    bool during(seconds from, seconds length) const {
        return now_ >= begin_ + from && now_ < begin_ + from + length;
    }
    double demand() const {
        return now_ < begin_ + scenario_.demand_change ? scenario_.demand
                                                       : scenario_.later_demand;
    }
    double fraction() { return std::uniform_real_distribution<>()(random_); }
    bool lost() { return fraction() < scenario_.lost_datagrams; }

    void change_cap() {
        if (now_ >= begin_ + scenario_.cap_change) {
            cap_.per_second = scenario_.cap.per_second * scenario_.changed_cap;
            cap_.burst = scenario_.cap.burst * scenario_.changed_cap;
        }
    }
    /// @returns since when the present counter counts alone
    instant counted_since() const {
        return begin_ + scenario_.counter_change *
                            ((now_ - begin_) / scenario_.counter_change);
    }
    bool is_cut(simulated_node const& node) const {
        return node.cut && during(scenario_.cut_from, scenario_.cut_for);
    }
    bool counter_answers(simulated_node const& node) const {
        bool const silent =
            during(scenario_.counter_silent_from, scenario_.counter_silent_for);
        return !silent && !is_cut(node);
    }
    /// @returns true while the former counter has not noticed its successor
    bool settles() const {
        instant const since = counted_since();
        return since > begin_ && now_ < since + settling;
    }
    double contact_fraction() const {
        bool const noticed =
            now_ >= begin_ + scenario_.cut_from + contact_timeout &&
            now_ < begin_ + scenario_.cut_from + scenario_.cut_for;
        std::size_t const cut = noticed ? cut_nodes_ : 0;
        return grantable_fraction(nodes_.size() - cut, nodes_.size());
    }
    /// @returns nothing when the node asked does not count the team
    std::optional<usage_decision> count_for(
        simulated_node const& node, double units, std::uint64_t question) {
        double const unreported = node.history.unreported();
        if (scenario_.loss.nodes <= 0) {
            return count(units, question, unreported);
        }
        auto const index = static_cast<std::size_t>(&node - nodes_.data());
        return leased_.count(index, {question, team, units, unreported}, cap_);
    }
    usage_decision
    count(double units, std::uint64_t question, double unreported) {
        if (!cap_.limited()) {
            return {true, duration::zero()};
        }
        instant const since = counted_since();
        if (since != counter_since_) {
            former_counter_ = std::exchange(counter_, usage_counter());
            former_since_ = std::exchange(counter_since_, since);
        }
        // Half of the nodes still ask the former counter.
        if (settles() && question % 2 == 0) {
            return former_counter_.take(
                {question, team, units, unreported}, cap_, former_since_,
                contact_fraction(), now_);
        }
        std::optional<instant> former_change;
        if (former_since_ > begin_) {
            former_change = former_since_;
        }
        double const part =
            settles() ? settling_usage_fraction(former_change, now_) : 1;
        return counter_.take(
            {question, team, units, unreported}, cap_, since,
            part * contact_fraction(), now_);
    }
    /// Asks the counting node.
    std::optional<usage_decision>
    ask(simulated_node const& node, double units) {
        std::uint64_t const question = ++last_question_;
        duration waited{0};
        std::optional<usage_decision> decision;
        for (int each = 0; each < max_questions && !decision; ++each) {
            messages_ += 2;
            bool const arrives = counter_answers(node) && !lost();
            auto const counted =
                arrives ? count_for(node, units, question) : std::nullopt;
            if (counted && !lost()) {
                decision = counted;
                waited += microseconds(400 + random_() % 3'000);
            } else {
                waited += answer_timeout;
            }
        }
        waits_.push_back(std::chrono::duration_cast<microseconds>(waited));
        return decision;
    }

    bool decide(simulated_node& node, double units) {
        switch (scenario_.policy) {
        case usage_policy::counted:
            return decide_counted(node, units);
        case usage_policy::lent:
            return decide_lent(node, units);
        case usage_policy::equal_shares:
            return own_shares_[static_cast<std::size_t>(&node - nodes_.data())]
                .take(units, now_)
                .granted;
        case usage_policy::counted_afterwards:
            return decide_afterwards(node, units);
        }
        return false;
    }
    bool decide_counted(simulated_node& node, double units) {
        std::optional<usage_decision> decision;
        if (!node.history.presumed_unreachable(now_)) {
            decision = ask(node, units);
        }
        if (!decision) {
            node.history.mark_unanswered(fraction(), now_);
            return node.history.take_unconfirmed(units, now_);
        }
        node.history.mark_answered(node.history.unreported(), now_);
        if (decision->granted) {
            node.history.add_granted(units, now_);
        } else {
            node.history.mark_denied(now_);
        }
        return decision->granted;
    }
    bool decide_lent(simulated_node& node, double units) {
        if (now_ >= node.loan_ends) {
            if (node.loan > 0) {
                counter_.give_back(team, node.loan, now_);
                ++messages_;
            }
            node.loan = 0;
        }
        double const age = std::max(
            1.0,
            std::chrono::duration<double>(now_ - node.demand_since).count());
        node.recent_demand = node.recent_demand / age + units;
        node.demand_since = now_;
        if (node.loan >= units) {
            waits_.emplace_back(0);
            node.loan -= units;
            return true;
        }
        double const wanted = std::max(units, node.recent_demand);
        auto decision = ask(node, wanted);
        double borrowed = wanted;
        if (decision && !decision->granted && wanted > units) {
            decision = ask(node, units);
            borrowed = units;
        }
        if (!decision || !decision->granted) {
            return false;
        }
        node.loan += borrowed - units;
        node.loan_ends = now_ + loan_time;
        return true;
    }
    bool decide_afterwards(simulated_node& node, double units) {
        waits_.emplace_back(0);
        auto const interval = now_.time_since_epoch() / report_interval;
        if (interval != reported_interval_) {
            // All nodes report, and all learn whether the cap is reached.
            messages_ += 2.0 * scenario_.nodes;
            reported_interval_ = interval;
            double const unreported = unreported_;
            unreported_ = 0;
            reached_ =
                !count(std::max(1.0, unreported), ++last_question_, 0).granted;
        }
        bool const allowed = !reached_ || is_cut(node);
        unreported_ += allowed && !is_cut(node) ? units : 0;
        return allowed;
    }

    usage_result result() const {
        usage_result sum;
        double const allowance =
            (scenario_.cap.per_second *
                 std::chrono::duration<double>(usage_window).count() +
             scenario_.cap.burst) *
                (1 + usage_overshoot) +
            usage_slack;
        double in_window = 0;
        double all = 0;
        std::size_t first = 0;
        for (grant const& each : grants_) {
            all += each.units;
            in_window += each.units;
            while (grants_[first].at <= each.at - usage_window) {
                in_window -= grants_[first++].units;
            }
            sum.worst_window =
                std::max(sum.worst_window, in_window / allowance);
        }
        double const length =
            std::chrono::duration<double>(scenario_.length).count();
        sum.used = all / (scenario_.cap.per_second * length);
        sum.served = all / std::max(1.0, asked_for_);
        sum.ideally_served = ideal_ / std::max(1.0, asked_for_);
        sum.messages = messages_ / length / scenario_.nodes;
        std::vector<microseconds> waits = waits_;
        std::ranges::sort(waits);
        if (!waits.empty()) {
            sum.wait_p50 = waits[waits.size() / 2];
            sum.wait_p99 = waits[waits.size() * 99 / 100];
        }
        return sum;
    }

    usage_scenario scenario_;
    instant begin_ = instant() + seconds(1'000);
    instant now_ = begin_;
    usage_cap cap_;
    std::mt19937_64 random_;
    std::vector<simulated_node> nodes_;
    leased_counters leased_;
    std::vector<usage_meter> own_shares_;
    usage_counter counter_;
    instant counter_since_ = begin_;
    usage_counter former_counter_;
    instant former_since_ = begin_;
    /// Sees each request at once.
    usage_meter ideal_meter_{scenario_.cap, begin_};
    double ideal_ = 0;
    std::deque<grant> grants_;
    std::vector<microseconds> waits_;
    double messages_ = 0;
    std::size_t cut_nodes_ = 0;
    std::uint64_t last_question_ = 0;
    double unreported_ = 0;
    double asked_for_ = 0;
    bool reached_ = false;
    std::int64_t reported_interval_ = 0;
};

} // namespace

usage_result
simulate_usage(usage_scenario const& scenario, std::uint64_t seed) {
    return simulation(scenario, seed).run();
}

} // namespace camphorpoint::testing
