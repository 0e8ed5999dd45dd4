#include "Gateway/replica_controller.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);

std::string const group_name = "holders";
/// The store deals out partitions of topics; a topic has so many.
constexpr std::size_t partitions_per_topic = 12;
constexpr std::size_t topic_count = partition_count / partitions_per_topic;

/// Owners may change without a new generation reaching this node.
constexpr duration holders_refresh_interval = std::chrono::seconds(30);
/// At a change of members, which come in rows when nodes are stopped in turn.
/// Without it nodes that begin together know of each other by halves, and each
/// takes a larger share of the budget of second sends than is its.
constexpr duration holders_changed_interval = std::chrono::seconds(2);
/// While a holder is missing.
constexpr duration holders_missing_interval = std::chrono::seconds(1);
std::string topic_name(std::size_t number) {
    return fmt::format("holding{}", number);
}

/// @returns the partition's number among all topics; nothing for others' topics
std::optional<std::size_t>
partition_number(std::string const& topic, unsigned part) {
    std::string const prefix = "holding";
    if (!topic.starts_with(prefix) || part >= partitions_per_topic) {
        return std::nullopt;
    }
    std::size_t number = 0;
    char const* const end = topic.data() + topic.size();
    auto const [stop, error] =
        std::from_chars(topic.data() + prefix.size(), end, number);
    if (error != std::errc() || stop != end || number >= topic_count) {
        return std::nullopt;
    }
    return number * partitions_per_topic + part;
}

} // namespace

asio::awaitable<void> replica_controller::leave_group() {
    auto const alive = running_;
    std::string member = state_->own_address;
    std::string group = group_name;
    auto const left =
        co_await store_->leave(std::move(group), std::move(member));
    if (!left) {
        // The lease lapses by itself; others wait for it.
        state_->log_event(log_line(event_code::partition_lost)
                              .with("why", to_string(left.error())));
    }
}

asio::awaitable<void> replica_controller::claim_used_partitions() {
    auto const alive = running_;
    for (std::size_t const each : state_->leases.partitions_without_token()) {
        bool const used =
            std::ranges::any_of(state_->replicas.all(), [&](auto const& other) {
                return partition_of(other.first) == each &&
                       limits_of(other.second);
            });
        if (used && *alive) {
            co_await claim_partition(each);
        }
    }
}

// Guards against replicas that nobody orders for until the next renewal, though
// their partition could be claimed, or has settled, long before: in the first
// seconds of all nodes requests wait for these loads.
asio::awaitable<void> replica_controller::run_renewals() {
    auto const alive = running_;
    instant renew_at;
    while (*alive) {
        if (boot_clock::now() >= renew_at) {
            co_await renew_once();
            renew_at = boot_clock::now() + state_->settings.leases.renewal;
        }
        co_await claim_used_partitions();
        spawn_workers();
        instant const settled =
            state_->leases.next_settling_end(boot_clock::now());
        claim_timer_.expires_after(time_until(std::min(renew_at, settled)));
        co_await claim_timer_.async_wait(use_result);
    }
}

asio::awaitable<void> replica_controller::renew_once() {
    auto const alive = running_;
    std::vector<std::string> topics;
    for (std::size_t each = 0; each < topic_count; ++each) {
        topics.push_back(topic_name(each));
    }
    partition_leases& leases = state_->leases;
    std::string group = group_name;
    std::string member = state_->own_address;
    // The lease counts from before the call: the store's own count begins when
    // the call arrives, which is later.
    instant const started = boot_clock::now();
    auto const grant = co_await store_->join(
        std::move(group), std::move(member), std::move(topics),
        state_->settings.leases.lease, leases.generation());
    instant const now = boot_clock::now();
    if (!*running_) {
        co_return;
    }
    if (!grant) {
        leases.on_renewal_failed(now);
        co_return;
    }
    std::vector<std::size_t> partitions;
    for (auto const& [topic, part] : grant.value().parts) {
        if (auto const number = partition_number(topic, part)) {
            partitions.push_back(*number);
        }
    }
    auto const before = leases.held_partitions();
    leases.on_renewal_granted(
        started, grant.value().generation, partitions, now);
    auto const after = leases.held_partitions();
    if (before != after) {
        state_->log_event(log_line(event_code::partition_gained)
                              .with("held", after.size())
                              .with("before", before.size())
                              .with("generation", grant.value().generation));
        for (std::size_t const each : after) {
            messenger_->set_lease_holder(each, state_->own_address);
        }
    }
    // Holders tell their claims to all nodes they know. The list is for those
    // that they don't know yet: without it a want would go to a node that holds
    // the replica no more, and nobody would load what is waited for.
    bool const changed = holders_generation_ != grant.value().generation;
    bool const missing = messenger_->lacks_reachable_lease_holder(now);
    duration const pause = missing   ? holders_missing_interval
                           : changed ? holders_changed_interval
                                     : holders_refresh_interval;
    if (now >= holders_read_at_ + pause) {
        co_await read_lease_holders();
        holders_generation_ = grant.value().generation;
    }
}

asio::awaitable<void> replica_controller::read_lease_holders() {
    auto const alive = running_;
    std::string group = group_name;
    auto const holders = co_await store_->owners(std::move(group));
    holders_read_at_ = boot_clock::now();
    if (!holders) {
        co_return;
    }
    std::set<std::string> others;
    for (platform::part_owner const& each : holders.value()) {
        auto const number = partition_number(each.topic, each.part);
        if (number && !each.member.empty()) {
            messenger_->set_lease_holder(*number, each.member);
            others.insert(each.member);
        }
    }
    others.erase(state_->own_address);
    state_->start.set_peers(state_->own_address, others);
    messenger_->query_declared();
}

asio::awaitable<void>
replica_controller::claim_partition(std::size_t partition) {
    auto const alive = running_;
    // The place of a record in the log is had by one node only, and a later
    // holder's is higher: it is the fencing number.
    std::string topic = topic_name(partition / partitions_per_topic);
    std::string record = state_->own_address;
    auto const offset = co_await store_->append(
        std::move(topic),
        static_cast<unsigned>(partition % partitions_per_topic),
        std::move(record));
    if (!offset) {
        co_return;
    }
    std::uint64_t const token = fencing_number(offset.value());
    if (state_->leases.set_token(partition, token)) {
        messenger_->broadcast_claim(partition, token);
    }
}

} // namespace camphorpoint
