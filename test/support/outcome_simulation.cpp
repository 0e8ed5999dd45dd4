#include "outcome_simulation.hpp"

#include <Camphorpoint/Fleet>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace camphorpoint {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// As in the messenger between nodes.
constexpr duration usage_max_age = milliseconds(40);
constexpr duration query_timeout = milliseconds(15);
constexpr duration repeat_interval = milliseconds(200);
constexpr duration broadcast_interval = milliseconds(100);
constexpr unsigned nodes_at_full_rate = 10;
/// Time from the decision of a controller until every node has asked again.
constexpr duration spread_time = milliseconds(50);
constexpr duration controller_gap = milliseconds(1'500);
constexpr duration controller_dies_after = seconds(3);
constexpr duration share_returns_within = seconds(3);

/// The part of a node's view of a replica that changes.
struct replica_view {
    unsigned running_local = 0;
    unsigned running_remote = 0;
    instant usage_received_at;
    replica_condition condition;
    instant probe_until;
    replica_health health;
};

struct simulated_request {
    std::size_t node = 0;
    std::vector<endpoint_id> tried;
    unsigned attempts = 0;
};
using request_ref = std::shared_ptr<simulated_request>;

class simulation {
public:
    simulation(outcome_scenario const& scenario, std::uint64_t seed)
        : scenario_(scenario)
        , random_(seed)
        , replicas_(scenario.replicas)
        , views_(scenario.nodes, std::vector<replica_view>(scenario.replicas))
        , trackers_(std::min(scenario.nodes, scenario.replicas)) {
        for (unsigned each = 0; each < scenario.replicas; ++each) {
            replica_record record;
            record.id = endpoint_id("r" + std::to_string(each));
            record.service = service_id("s");
            record.slots = scenario.slots;
            fleet_.apply(record, now_);
        }
        for (unsigned each = 0; each < scenario.replicas; ++each) {
            simulated_replica& at = replicas_[each];
            at.id = endpoint_id("r" + std::to_string(each));
            at.hash = fleet::id_hash(at.id);
            at.known = fleet_.find(at.id);
            numbers_[at.id] = each;
        }
        need_.service = service_id("s");
        need_.work.objective = seconds(1);
        need_.work.patience = seconds(5);
        need_.work.repeatable = true;
    }

    outcome_result run() {
        schedule_arrival();
        after(repeat_interval, [this] { repeat_uses(); });
        after(broadcast_interval, [this] { broadcast(); });
        if (scenario_.controller_dies) {
            after(scenario_.fails_at + controller_dies_after, [this] {
                trackers_[0] = {};
                no_controller_until_ = now_ + controller_gap;
            });
        }
        while (!events_.empty() && events_.top().at < end()) {
            event const next = events_.top();
            events_.pop();
            now_ = next.at;
            next.action();
        }
        return result();
    }

private:
    struct event {
        instant at;
        std::uint64_t number = 0;
        std::function<void()> action;
        friend bool operator<(event const& left, event const& right) {
            return std::pair(left.at, left.number) >
                   std::pair(right.at, right.number);
        }
    };
    struct simulated_replica {
        endpoint_id id;
        std::uint64_t hash = 0;
        replica* known = nullptr;
        unsigned busy = 0;
        std::deque<std::function<void()>> queue;
        unsigned sends_after_recovery = 0;
    };

    void after(duration delay, std::function<void()> action) {
        events_.push({now_ + delay, ++last_event_, std::move(action)});
    }
    double fraction() { return std::uniform_real_distribution<>()(random_); }
    instant end() const { return begin_ + scenario_.length; }
    instant recovery() const { return begin_ + scenario_.recovers_at; }
    bool fails(std::size_t which) const {
        return which < scenario_.failing &&
               now_ >= begin_ + scenario_.fails_at && now_ < recovery();
    }
    std::size_t controller(std::size_t which) const {
        return which % trackers_.size();
    }
    bool controlled(std::size_t which) const {
        return controller(which) != 0 || now_ >= no_controller_until_;
    }
    running_request_tracker& tracker(std::size_t which) {
        return trackers_[controller(which)];
    }

    void schedule_arrival() {
        std::chrono::duration<double> const answer = scenario_.answer_time;
        double const rate = scenario_.load * scenario_.slots *
                            scenario_.replicas / answer.count();
        std::exponential_distribution<> gap(rate);
        after(
            std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(gap(random_))),
            [this] {
                auto request = std::make_shared<simulated_request>();
                request->node = random_() % scenario_.nodes;
                ++requests_;
                ask(request);
                schedule_arrival();
            });
    }

    /// Makes `fleet_` the view of a node.
    void load(std::size_t node) {
        for (unsigned each = 0; each < scenario_.replicas; ++each) {
            replica& target = at(each);
            replica_view const& view = views_[node][each];
            target.running_local = view.running_local;
            target.running_remote = view.running_remote;
            target.usage_received_at = view.usage_received_at;
            target.condition = view.condition;
            target.probe_until = view.probe_until;
            target.health = view.health;
        }
    }
    void store(std::size_t node, std::size_t which) {
        replica const& from = at(which);
        views_[node][which] = {from.running_local,     from.running_remote,
                               from.usage_received_at, from.condition,
                               from.probe_until,       from.health};
    }
    replica& at(std::size_t which) { return *replicas_[which].known; }

    replica_usage usage(std::size_t which) {
        replica_usage total = tracker(which).usage(replicas_[which].hash, now_);
        if (!scenario_.shared) {
            total.condition = {};
        }
        return total;
    }
    void apply_usage(
        std::size_t node, std::size_t which, replica_usage const& total) {
        replica_view const& view = views_[node][which];
        replica& target = at(which);
        target.running_local = view.running_local;
        target.condition = view.condition;
        target.probe_until = view.probe_until;
        target.health = view.health;
        fleet_.update_usage(replicas_[which].hash, total, now_);
        store(node, which);
    }
    replica_usage
    answer_query(std::size_t which, unsigned queried, bool may_probe) {
        replica_usage total = usage(which);
        total.condition.probe_permitted =
            scenario_.shared &&
            tracker(which).take_probe(replicas_[which].hash, may_probe, now_);
        tracker(which).add_expected_request(
            replicas_[which].hash, 1.0 / queried, now_);
        return total;
    }

    void ask(request_ref const& request) {
        std::size_t const node = request->node;
        load(node);
        need_.tried_replicas = request->tried;
        need_.random_sample = random_();
        std::vector<std::size_t> asked;
        bool unanswered = false;
        bool const may_probe = request->attempts == 0;
        auto const compared = fleet_selector_.compared_replicas(need_, now_);
        for (replica const* const each : compared) {
            std::size_t const which = numbers_.at(each->record.id);
            if (!controlled(which)) {
                unanswered = true;
            } else if (controller(which) == node) {
                replica_usage total = usage(which);
                total.condition.probe_permitted =
                    scenario_.shared &&
                    tracker(which).take_probe(
                        replicas_[which].hash, may_probe, now_);
                apply_usage(node, which, total);
            } else if (now_ >= each->usage_received_at + usage_max_age) {
                asked.push_back(which);
            }
        }
        if (asked.empty()) {
            after(
                unanswered ? query_timeout : duration::zero(),
                [this, request] { choose(request); });
            return;
        }
        after(scenario_.one_way, [=, this, asked = std::move(asked)] {
            auto const count = static_cast<unsigned>(compared.size());
            std::vector<std::pair<std::size_t, replica_usage>> answers;
            for (std::size_t const each : asked) {
                if (controlled(each)) {
                    answers.emplace_back(
                        each, answer_query(each, count, may_probe));
                }
            }
            duration const rest = unanswered ? query_timeout - scenario_.one_way
                                             : scenario_.one_way;
            after(rest, [=, this, answers = std::move(answers)] {
                for (auto const& [which, total] : answers) {
                    apply_usage(node, which, total);
                }
                choose(request);
            });
        });
    }

    void choose(request_ref const& request) {
        load(request->node);
        need_.tried_replicas = request->tried;
        need_.random_sample = random_();
        replica const* const best = fleet_selector_.best(need_, now_);
        if (best == nullptr) {
            return;
        }
        send(request, numbers_.at(best->record.id));
    }

    void report(
        std::size_t node, std::size_t which,
        std::optional<attempt_report> const& ended) {
        unsigned const running = views_[node][which].running_local;
        bool const own = controller(which) == node;
        if (!own && fraction() < scenario_.lost_reports) {
            return;
        }
        after(own ? duration::zero() : scenario_.one_way, [=, this] {
            if (!controlled(which)) {
                return;
            }
            std::uint64_t const hash = replicas_[which].hash;
            if (ended) {
                avoidance_change const change = tracker(which).add_attempt(
                    hash, scenario_.slots, *ended, now_);
                if (which == 0 && change == avoidance_change::began &&
                    avoided_at_ == instant::max()) {
                    avoided_at_ = now_;
                }
            }
            tracker(which).update(
                "n" + std::to_string(node), hash, adapter_id(), running, 0,
                now_);
            if (own) {
                apply_usage(node, which, usage(which));
            }
        });
    }

    void send(request_ref const& request, std::size_t which) {
        simulated_replica& target = replicas_[which];
        bool const probe = fleet_.request_started(target.id, 0, now_);
        store(request->node, which);
        ++request->attempts;
        report(request->node, which, std::nullopt);
        if (now_ >= recovery() + share_returns_within) {
            ++target.sends_after_recovery;
        }
        if (fails(which)) {
            count_failure(which);
            after(scenario_.failure_time, [=, this] {
                end_attempt(request, which, health_signal::failed, probe);
            });
            return;
        }
        target.queue.emplace_back([=, this] {
            after(scenario_.answer_time, [=, this] {
                --replicas_[which].busy;
                end_attempt(request, which, health_signal::answered, probe);
                start_queued(which);
            });
        });
        start_queued(which);
    }
    void start_queued(std::size_t which) {
        simulated_replica& target = replicas_[which];
        while (target.busy < scenario_.slots && !target.queue.empty()) {
            auto const start = std::move(target.queue.front());
            target.queue.pop_front();
            ++target.busy;
            start();
        }
    }
    void count_failure(std::size_t which) {
        ++failed_;
        if (which != 0) {
            return;
        }
        bool const known =
            avoided_at_ != instant::max() && now_ >= avoided_at_ + spread_time;
        ++(known ? failed_after_ : failed_before_);
    }

    void end_attempt(
        request_ref const& request, std::size_t which, health_signal signal,
        bool probe) {
        replica_view& view = views_[request->node][which];
        --view.running_local;
        view.health.add_outcome(signal, now_);
        attempt_report ended;
        ended.signal = signal;
        ended.probe = probe;
        report(request->node, which, ended);
        if (signal == health_signal::answered) {
            ++answered_;
            return;
        }
        request->tried.push_back(replicas_[which].id);
        if (request->attempts < scenario_.attempts) {
            ask(request);
        }
    }

    void repeat_uses() {
        for (std::size_t node = 0; node < views_.size(); ++node) {
            std::string const name = "n" + std::to_string(node);
            for (std::size_t each = 0; each < replicas_.size(); ++each) {
                unsigned const running = views_[node][each].running_local;
                if (running > 0 && controlled(each)) {
                    tracker(each).update(
                        name, replicas_[each].hash, adapter_id(), running, 0,
                        now_);
                }
            }
        }
        for (running_request_tracker& each : trackers_) {
            each.drop_timed_out_nodes(now_);
        }
        after(repeat_interval, [this] { repeat_uses(); });
    }
    void broadcast() {
        for (std::size_t each = 0; each < replicas_.size(); ++each) {
            if (!controlled(each)) {
                continue;
            }
            replica_usage const total = usage(each);
            for (std::size_t node = 0; node < views_.size(); ++node) {
                apply_usage(node, each, total);
            }
        }
        unsigned const ticks = 1 + scenario_.nodes / nodes_at_full_rate;
        after(broadcast_interval * ticks, [this] { broadcast(); });
    }

    outcome_result result() const {
        outcome_result result;
        std::chrono::duration<double> const failing =
            scenario_.recovers_at - scenario_.fails_at;
        result.failing_seconds = failing.count();
        result.failed = failed_;
        result.failed_before_avoided = failed_before_;
        std::chrono::duration<double> const avoided =
            recovery() - std::min(avoided_at_, recovery());
        result.failed_per_second_after =
            (failed_after_ - std::min(failed_after_, 1U)) /
            std::max(1.0, avoided.count());
        result.answered = static_cast<double>(answered_ + running()) /
                          static_cast<double>(requests_);
        double sum = 0;
        double all = 0;
        for (std::size_t each = 0; each < replicas_.size(); ++each) {
            all += replicas_[each].sends_after_recovery;
            sum += each < scenario_.failing
                       ? replicas_[each].sends_after_recovery
                       : 0;
        }
        double const part = 1.0 * scenario_.failing / scenario_.replicas;
        result.recovered_share = sum / (all * part);
        return result;
    }
    /// @returns the requests that are still in progress
    std::size_t running() const {
        std::size_t sum = 0;
        for (simulated_replica const& each : replicas_) {
            sum += each.busy + each.queue.size();
        }
        return sum;
    }

    outcome_scenario scenario_;
    std::mt19937_64 random_;
    instant const begin_ = instant() + seconds(100);
    instant now_ = begin_;
    fleet fleet_;
    replica_selector fleet_selector_{fleet_};
    replica_requirements need_;
    std::vector<simulated_replica> replicas_;
    std::map<endpoint_id, std::size_t> numbers_;
    std::vector<std::vector<replica_view>> views_;
    std::vector<running_request_tracker> trackers_;
    std::priority_queue<event> events_;
    std::uint64_t last_event_ = 0;
    instant no_controller_until_;
    instant avoided_at_ = instant::max();
    unsigned failed_before_ = 0;
    unsigned failed_after_ = 0;
    unsigned failed_ = 0;
    std::size_t requests_ = 0;
    std::size_t answered_ = 0;
};

} // namespace

outcome_result
simulate_outcomes(outcome_scenario const& scenario, std::uint64_t seed) {
    return simulation(scenario, seed).run();
}

} // namespace camphorpoint
