#include "test/support/resend_simulation.hpp"

#include "ReplicaControl/partition_leases.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <random>

namespace camphorpoint::testing {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds step{10};
constexpr milliseconds lease{2'000};
constexpr milliseconds renewal{600};
constexpr milliseconds settling{700};
constexpr milliseconds share_refresh_interval{100};
constexpr unsigned max_resends = 3;
service_id const service("s");

bool within(milliseconds now, time_span const& span) {
    return now >= span.begin && now < span.end;
}

/// A node with the budget of its running process.
class simulated_node {
public:
    void start(resend_limits const& limits) {
        budget_.emplace(limits);
        share_ = 0;
    }
    void stop() {
        budget_.reset();
        share_ = 0;
    }
    bool running() const { return budget_.has_value(); }
    /// Applies the share, and accrues slack, as a node does periodically.
    void refresh_share(instant now) { budget_->set_slack_share(share_, now); }
    void set_share(double share) { share_ = share; }
    void add_request(instant now) { budget_->on_request(service, now); }
    bool try_resend(instant now) {
        budget_->set_slack_share(share_, now);
        return budget_->try_consume(service, now);
    }

private:
    std::optional<resend_budget> budget_;
    double share_ = 0;
};

/// Assigns the partitions evenly to the nodes that run and reach the store.
/// The former holder learns of it at its next renewal, or lets its lease
/// expire; the new one waits for its settling period.
class partition_assignment {
public:
    partition_assignment(std::size_t nodes, std::mt19937_64& random)
        : random_(random)
        , members_(nodes, false)
        , assigned_(nodes, 0) {}

    void update(
        std::vector<simulated_node>& nodes, resend_scenario const& scenario,
        milliseconds now) {
        std::vector<bool> next(members_.size());
        for (std::size_t each = 0; each < next.size(); ++each) {
            next[each] = nodes[each].running() && reaches(scenario, each, now);
        }
        if (next != members_) {
            members_ = std::move(next);
            reassign(now);
        }
        apply(nodes, now);
    }

private:
    struct change {
        milliseconds at;
        std::size_t node;
        double share;
    };

    static bool reaches(
        resend_scenario const& scenario, std::size_t node, milliseconds now) {
        return std::ranges::none_of(scenario.store_cuts, [&](auto const& each) {
            // The store drops a silent member when its lease has expired.
            time_span const out{each.when.begin + lease, each.when.end};
            return node >= each.first_node &&
                   node < each.first_node + each.node_count && within(now, out);
        });
    }

    void reassign(milliseconds now) {
        std::size_t const count =
            static_cast<std::size_t>(std::ranges::count(members_, true));
        std::size_t rank = 0;
        for (std::size_t each = 0; each < members_.size(); ++each) {
            std::size_t held = 0;
            if (members_[each]) {
                held = partition_count / count;
                held += rank < partition_count % count ? 1 : 0;
                ++rank;
            }
            if (held == assigned_[each]) {
                continue;
            }
            bool const gained = held > assigned_[each];
            milliseconds const delay =
                gained ? renewal + settling
                       : milliseconds(random_() % renewal.count());
            assigned_[each] = held;
            changes_.push_back(
                {now + (members_[each] ? delay : milliseconds(0)), each,
                 static_cast<double>(held) / partition_count});
        }
    }

    void apply(std::vector<simulated_node>& nodes, milliseconds now) {
        std::erase_if(changes_, [&](change const& each) {
            if (each.at > now) {
                return false;
            }
            if (nodes[each.node].running()) {
                nodes[each.node].set_share(each.share);
            }
            return true;
        });
    }

    std::mt19937_64& random_;
    std::vector<bool> members_;
    std::vector<std::size_t> assigned_;
    std::vector<change> changes_;
};

double
sum(std::vector<double> const& of, std::ptrdiff_t from, std::ptrdiff_t to) {
    auto const size = static_cast<std::ptrdiff_t>(of.size());
    auto const begin = of.begin() + std::clamp<std::ptrdiff_t>(from, 0, size);
    auto const end = of.begin() + std::clamp<std::ptrdiff_t>(to, 0, size);
    return std::accumulate(begin, end, 0.0);
}

} // namespace

double resend_trace::worst_excess(resend_limits const& limits) const {
    std::ptrdiff_t const window = limits.window / step;
    double worst = -limits.slack;
    auto const last = static_cast<std::ptrdiff_t>(resends.size()) - window;
    // Every tenth start: a window of a tenth of a second more or less differs
    // by less than one request of a node.
    constexpr std::ptrdiff_t stride = 10;
    for (std::ptrdiff_t begin = 0; begin <= last; begin += stride) {
        double const most = std::max(
            {sum(requests, begin, begin + window),
             sum(requests, begin - window / 2, begin + window / 2),
             sum(requests, begin - window, begin)});
        double const allowed = limits.ratio * most + limits.slack;
        worst = std::max(worst, sum(resends, begin, begin + window) - allowed);
    }
    return worst;
}

double
resend_trace::used_fraction(resend_limits const& limits, time_span span) const {
    std::ptrdiff_t const begin = span.begin / step;
    std::ptrdiff_t const end = span.end / step;
    double const windows =
        std::chrono::duration<double>(span.end - span.begin) / limits.window;
    double const allowed =
        limits.ratio * sum(requests, begin, end) + limits.slack * windows;
    return sum(resends, begin, end) / allowed;
}

resend_trace
simulate_resends(resend_scenario const& scenario, resend_limits limits) {
    std::mt19937_64 random(scenario.seed);
    std::uniform_real_distribution<> fraction;
    std::poisson_distribution<> arrivals(
        scenario.requests_per_second *
        std::chrono::duration<double>(step).count());
    std::vector<simulated_node> nodes(scenario.nodes);
    partition_assignment partitions(scenario.nodes, random);
    resend_trace trace;
    instant const begin = instant() + std::chrono::hours(1);
    std::vector<std::size_t> running;
    for (milliseconds now{0}; now < scenario.length; now += step) {
        std::vector<bool> down(scenario.nodes, false);
        for (node_outage const& each : scenario.outages) {
            if (within(now, each.when)) {
                auto const from =
                    down.begin() + static_cast<std::ptrdiff_t>(each.first_node);
                std::fill_n(from, each.node_count, true);
            }
        }
        running.clear();
        for (std::size_t each = 0; each < scenario.nodes; ++each) {
            if (down[each] == nodes[each].running()) {
                down[each] ? nodes[each].stop() : nodes[each].start(limits);
            }
            if (nodes[each].running()) {
                running.push_back(each);
            }
        }
        partitions.update(nodes, scenario, now);
        if (now % share_refresh_interval == milliseconds(0)) {
            for (std::size_t const each : running) {
                nodes[each].refresh_share(begin + now);
            }
        }
        int const count = arrivals(random);
        trace.requests.push_back(count);
        trace.resends.push_back(0);
        for (int each = 0; each < count && !running.empty(); ++each) {
            simulated_node& at = nodes[running[random() % running.size()]];
            at.add_request(begin + now);
            unsigned tries = 0;
            while (within(now, scenario.rejecting) && tries < max_resends &&
                   fraction(random) < scenario.rejected_fraction &&
                   at.try_resend(begin + now)) {
                trace.resends.back() += 1;
                ++tries;
            }
        }
    }
    return trace;
}

std::vector<node_outage> rolling_restart(
    std::size_t nodes, milliseconds begin, milliseconds interval,
    milliseconds down) {
    std::vector<node_outage> all;
    for (std::size_t each = 0; each < nodes; ++each) {
        milliseconds const at = begin + static_cast<int>(each) * interval;
        all.push_back({each, 1, {at, at + down}});
    }
    return all;
}

} // namespace camphorpoint::testing
