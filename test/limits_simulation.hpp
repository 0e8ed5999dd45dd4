#pragma once

#include <Camphorpoint/Limits>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace camphorpoint::test {

/// What came of the requests that arrived in one span of time.
struct phase_result {
    std::uint32_t arrived = 0;
    std::uint32_t completed = 0;
    std::uint32_t refused = 0;
    /// Waits in the router and in the service together, sorted.
    std::vector<duration> waits;

    double p99_ms() const {
        if (waits.empty()) {
            return 0.0;
        }
        std::size_t const place = waits.size() * 99 / 100;
        return std::chrono::duration<double, std::milli>(waits[place]).count();
    }
    double refused_fraction() const {
        return arrived == 0 ? 0.0 : double(refused) / arrived;
    }
};

/// Several nodes send scans to the replicas of one service, on virtual time.
/// A replica serves so many at a time and queues the rest, unseen.
template <concurrency_limiter Limiter>
class service_simulation {
public:
    struct setup {
        std::uint32_t nodes = 9;
        std::uint32_t replicas = 3;
        std::uint32_t workers = 8;
        /// Told to the routers; 0 when the platform does not know it.
        std::uint32_t told = 0;
        double arrivals_per_second = 1'800.0;
        std::chrono::milliseconds mean_service{8};
        std::uint64_t seed = 1;
        service_settings router{};
    };

    explicit service_simulation(setup const& how)
        : how_(how)
        , random_(how.seed) {
        std::vector<service_endpoint> list;
        for (std::uint32_t index = 0; index < how.replicas; ++index) {
            endpoint_id const id("s" + std::to_string(index));
            domain_id const domain("d" + std::to_string(index % 3));
            list.push_back({id, domain, how.told, false});
            replicas_[id].workers = how.workers;
        }
        for (std::uint32_t index = 0; index < how.nodes; ++index) {
            domain_id const domain("d" + std::to_string(index % 3));
            nodes_.emplace_back(
                how.router, health_settings{}, domain, how.seed * 100 + index);
            nodes_.back().set_endpoints(list, now_);
        }
        plan(now_, kind::arrival);
        plan(now_, kind::tick);
    }

    /// The replicas' workers become so many each.
    void set_workers(std::uint32_t workers) {
        for (auto& [id, each] : replicas_) {
            each.workers = workers;
        }
    }
    /// @returns what came of the requests of the next span
    phase_result run(std::chrono::seconds span) {
        result_ = {};
        instant const end = now_ + span;
        while (events_.top().at < end) {
            event const next = events_.top();
            events_.pop();
            now_ = next.at;
            handle(next);
        }
        now_ = end;
        std::ranges::sort(result_.waits);
        return result_;
    }

private:
    enum class kind : std::uint8_t { arrival, tick, served };
    struct event {
        instant at;
        std::uint64_t number = 0;
        kind what = kind::arrival;
        request_id request;
        friend bool operator>(event const& left, event const& right) {
            return left.at != right.at ? left.at > right.at
                                       : left.number > right.number;
        }
    };
    struct job {
        std::uint32_t node = 0;
        instant arrived;
        endpoint_id replica;
        instant begun;
    };
    struct replica {
        std::uint32_t workers = 0;
        std::uint32_t busy = 0;
        std::deque<request_id> waiting;
    };

    void plan(instant at, kind what, request_id const& request = {}) {
        events_.push({at, ++numbered_, what, request});
    }
    duration exponential(double mean_seconds) {
        std::exponential_distribution<double> draw(1.0 / mean_seconds);
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(draw(random_)));
    }
    void handle(event const& next) {
        if (next.what == kind::arrival) {
            arrive();
        } else if (next.what == kind::served) {
            serve_next(next.request);
        } else {
            for (std::uint32_t index = 0; index < how_.nodes; ++index) {
                nodes_[index].on_tick(now_);
                act(index);
            }
            plan(now_ + std::chrono::milliseconds(20), kind::tick);
        }
    }
    void arrive() {
        ++result_.arrived;
        std::uint32_t const node =
            static_cast<std::uint32_t>(random_() % how_.nodes);
        request_id const id(std::to_string(++numbered_));
        jobs_[id] = {node, now_, {}, {}};
        service_request request;
        request.id = id;
        request.how_urgent = urgency::immediate;
        request.deadline = now_ + std::chrono::milliseconds(500);
        nodes_[node].submit(request, now_);
        act(node);
        plan(now_ + exponential(1.0 / how_.arrivals_per_second), kind::arrival);
    }
    void act(std::uint32_t node) {
        for (service_action const& each : nodes_[node].take_actions()) {
            if (auto const* go = std::get_if<service_dispatch>(&each)) {
                jobs_[go->id].replica = go->endpoint;
                replicas_[go->endpoint].waiting.push_back(go->id);
                begin(replicas_[go->endpoint]);
            } else {
                ++result_.refused;
                jobs_.erase(std::get<service_refusal>(each).id);
            }
        }
    }
    void begin(replica& each) {
        while (each.busy < each.workers && !each.waiting.empty()) {
            request_id const id = each.waiting.front();
            each.waiting.pop_front();
            ++each.busy;
            jobs_[id].begun = now_;
            std::chrono::duration<double> const mean = how_.mean_service;
            plan(now_ + exponential(mean.count()), kind::served, id);
        }
    }
    void serve_next(request_id const& id) {
        job const ended = jobs_.at(id);
        jobs_.erase(id);
        ++result_.completed;
        result_.waits.push_back(ended.begun - ended.arrived);
        replica& each = replicas_[ended.replica];
        --each.busy;
        begin(each);
        nodes_[ended.node].on_finished(id, service_outcome::completed, now_);
        act(ended.node);
    }

    setup how_;
    std::mt19937_64 random_;
    instant now_{};
    std::uint64_t numbered_ = 0;
    std::vector<service_router<Limiter>> nodes_;
    std::map<endpoint_id, replica> replicas_;
    std::map<request_id, job> jobs_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    phase_result result_;
};

} // namespace camphorpoint::test
