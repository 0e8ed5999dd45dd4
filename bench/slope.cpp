#include "slope.hpp"

#include "Placement/placement.hpp"
#include "Scheduling/replica_scheduler.hpp"
#include "allocation_counter.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace camphorpoint::bench {

namespace {

using std::chrono::milliseconds;

/// What grows.
struct sizes {
    std::uint32_t nodes = 9;
    std::uint32_t replicas = 18;
    std::uint32_t adapters = 3000;
    std::uint32_t queue = 16;
};

/// Of one request, on average.
struct cost {
    double nanoseconds = 0;
    double bytes = 0;
    double allocations = 0;
};

/// One entry node and one owner, kept under a steady load.
class rig {
public:
    explicit rig(sizes const& given)
        : sizes_(given)
        , choice_(settings_for(given))
        , scheduler_(owner_settings()) {
        make_names();
        make_endpoints();
        make_residents();
        constexpr std::uint32_t to_fill = batch_limit;
        for (std::uint32_t at = 0; at < to_fill + sizes_.queue; ++at) {
            ask();
        }
        collect_grants();
    }

    cost measure(std::uint32_t requests) {
        allocation_count const before = count_allocations();
        auto const start = std::chrono::steady_clock::now();
        for (std::uint32_t at = 0; at < requests; ++at) {
            decide();
        }
        auto const took = std::chrono::steady_clock::now() - start;
        allocation_count const after = count_allocations();
        auto const count = static_cast<double>(requests);
        return {
            std::chrono::duration<double, std::nano>(took).count() / count,
            static_cast<double>(after.bytes - before.bytes) / count,
            static_cast<double>(after.allocations - before.allocations) /
                count};
    }

private:
    static constexpr std::uint32_t slots = 32;
    static constexpr std::uint32_t batch_limit = 32;

    static placement_settings settings_for(sizes const& given) {
        placement_settings result;
        result.domain = domain_id("d0");
        result.nodes = given.nodes;
        return result;
    }

    static scheduler_settings owner_settings() {
        scheduler_settings result;
        result.replica = endpoint_id("e0");
        result.adapter_slots = slots;
        result.batch_limit = batch_limit;
        constexpr std::size_t roomy = 100'000;
        result.queue_limit = roomy;
        return result;
    }

    void make_names() {
        for (std::uint32_t at = 0; at < sizes_.adapters; ++at) {
            adapters_.push_back({adapter_id(fmt::format("a{}", at)), 1});
        }
        for (std::uint32_t at = 0; at < sizes_.nodes; ++at) {
            nodes_.emplace_back(fmt::format("n{}", at));
        }
    }

    void make_endpoints() {
        std::vector<placement_endpoint> list;
        constexpr std::uint32_t domains = 35;
        for (std::uint32_t at = 0; at < sizes_.replicas; ++at) {
            placement_endpoint each;
            each.id = endpoint_id(fmt::format("e{}", at));
            each.model = model_;
            each.domain = domain_id(fmt::format("d{}", at % domains));
            each.batch_limit = batch_limit;
            each.adapter_slots = slots;
            list.push_back(each);
        }
        choice_.set_endpoints(list);
    }

    void make_residents() {
        constexpr std::chrono::hours whole_run{24};
        scheduler_.on_authority({1}, now_ + whole_run, now_);
        engine_report report;
        report.replica = endpoint_id("e0");
        report.incarnation = 1;
        for (std::uint32_t at = 0; at < slots; ++at) {
            report.resident.push_back(adapters_[at]);
        }
        scheduler_.on_report(report, now_);
        scheduler_.take_actions();
    }

    void ask() {
        grant_request message;
        message.request = request_id(fmt::format("r{}", next_request_));
        message.attempt = 1;
        message.replica = endpoint_id("e0");
        message.adapter = adapters_[next_request_ % slots];
        message.time_left = std::chrono::minutes(10);
        message.expected_tokens = 1;
        scheduler_.on_grant_request(
            nodes_[next_request_ % sizes_.nodes], message, now_);
        ++next_request_;
    }

    void decide() {
        now_ += std::chrono::microseconds(100);
        adapter_ref const& adapter =
            adapters_[(next_request_ * 7919ULL) % adapters_.size()];
        choice_.on_demand(adapter, now_);
        auto const chosen = choice_.choose(
            adapter, model_, urgency::normal, next_request_, {}, now_);
        if (chosen) {
            choice_.on_feedback(*chosen, adapter, {}, now_);
        }
        ask();
        release_oldest();
        collect_grants();
    }

    void release_oldest() {
        if (running_.empty()) {
            return;
        }
        running_grant const& oldest = running_.front();
        grant_released message;
        message.request = oldest.given.request;
        message.attempt = oldest.given.attempt;
        message.replica = oldest.given.replica;
        message.grant = oldest.given.grant;
        message.tokens = 1;
        scheduler_.on_grant_released(oldest.node, message, now_);
        running_.pop_front();
    }

    void collect_grants() {
        for (scheduler_action& each : scheduler_.take_actions()) {
            if (auto* const grant = std::get_if<reply_grant>(&each)) {
                running_.push_back({grant->to, std::move(grant->message)});
            }
        }
    }

    struct running_grant {
        node_id node;
        grant_issued given;
    };

    sizes sizes_;
    model_id model_{"base"};
    std::vector<adapter_ref> adapters_;
    std::vector<node_id> nodes_;
    placement<> choice_;
    replica_scheduler<> scheduler_;
    std::deque<running_grant> running_;
    std::uint64_t next_request_ = 0;
    instant now_ = instant{} + std::chrono::hours(1);
};

void print_line(std::string const& what, sizes const& given) {
    constexpr std::uint32_t requests = 20'000;
    rig subject(given);
    subject.measure(requests);
    cost const found = subject.measure(requests);
    fmt::print(
        "{:<18}{:>8.0f} ns{:>8.0f} bytes{:>7.1f} allocations\n", what,
        found.nanoseconds, found.bytes, found.allocations);
}

} // namespace

void print_slopes() {
    for (std::uint32_t const nodes : {9U, 90U, 900U, 1900U}) {
        sizes given;
        given.nodes = nodes;
        print_line(fmt::format("nodes {}", nodes), given);
    }
    for (std::uint32_t const replicas : {18U, 180U, 1800U, 12000U}) {
        sizes given;
        given.replicas = replicas;
        print_line(fmt::format("replicas {}", replicas), given);
    }
    for (std::uint32_t const adapters : {3000U, 6000U, 16000U, 48000U}) {
        sizes given;
        given.adapters = adapters;
        print_line(fmt::format("adapters {}", adapters), given);
    }
    for (std::uint32_t const queue : {0U, 16U, 128U, 1024U}) {
        sizes given;
        given.queue = queue;
        print_line(fmt::format("queue {}", queue), given);
    }
}

} // namespace camphorpoint::bench
