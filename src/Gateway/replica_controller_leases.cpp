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
/// The store assigns partitions of topics to members; each topic has this many.
constexpr std::size_t partitions_per_topic = 12;
constexpr std::size_t topic_count = partition_count / partitions_per_topic;

/// The lease holders are read again this often, because they may change without
/// a new generation reaching this node.
constexpr duration holders_refresh_interval = std::chrono::seconds(30);
/// Interval after a change of members. Members change in rapid succession when
/// nodes are restarted one after the other. Without this read, nodes that start
/// together know only some of each other, and each takes more than its quota
/// share of the resend budget.
constexpr duration holders_changed_interval = std::chrono::seconds(2);
/// Interval after a change of members while this node has just started. After a
/// restart of all nodes each knows only those that have joined before it.
constexpr duration holders_starting_interval = std::chrono::milliseconds(500);
constexpr duration starting_time = std::chrono::seconds(4);
/// Interval while the lease holder of a partition is unknown or unreachable.
constexpr duration holders_missing_interval = std::chrono::seconds(1);
std::string topic_name(std::size_t number) {
    return fmt::format("holding{}", number);
}

/// @returns the partition's number over all topics; nothing for topics of other
///          users
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
        // The lease expires by itself; until then other nodes wait for it.
        state_->log_event(log_line(event_code::partition_lost)
                              .with("why", to_string(left.error())));
    }
}

bool replica_controller::must_yield(instant now) const {
    return state_->reachability.partitioned() &&
           messenger_->select_relay({}, replica_links::partly_cut, now);
}

// Guards against replicas that get no commands although other nodes reach them:
// their controller has lost its own links to them. It takes partitions again
// when its links are back, or when no other node reaches replicas either.
asio::awaitable<void> replica_controller::yield_partitions() {
    auto const alive = running_;
    if (!state_->leases.held_partitions().empty()) {
        state_->log_event(log_line(event_code::partition_lost)
                              .with("why", "replicas unreachable"));
        state_->leases.clear();
        wake_workers();
        co_await leave_group();
    }
    // The new lease holders of partitions that have neither replicas nor a
    // capped team do not broadcast their claims.
    if (*alive &&
        boot_clock::now() >= holders_read_at_ + holders_missing_interval) {
        co_await read_lease_holders();
    }
}

void replica_controller::on_reachability_change() {
    claim_timer_.cancel();
}

bool replica_controller::has_controlled_replicas(std::size_t partition) const {
    return std::ranges::any_of(state_->replicas.all(), [&](auto const& each) {
        return partition_of(each.first) == partition && limits_of(each.second);
    });
}

// Guards against a former holder that has lost the store, and against nodes
// that have lost it too and ask the former holder: both learn of the new one by
// its claim.
bool replica_controller::counts_capped_team(std::size_t partition) const {
    return std::ranges::any_of(state_->teams.all(), [&](auto const& each) {
        return each.cap.limited() &&
               partition_of_team(team_table::hash_of(each.name)) == partition;
    });
}

asio::awaitable<void> replica_controller::claim_used_partitions() {
    auto const alive = running_;
    for (std::size_t const each : state_->leases.partitions_without_token()) {
        if (!*alive) {
            co_return;
        }
        if (has_controlled_replicas(each) || counts_capped_team(each)) {
            co_await claim_partition(each);
        }
    }
}

// Guards against replicas that have no controller until the next renewal,
// although their partition could be claimed, or its settling period has ended,
// long before. In the first seconds after all nodes have started, requests wait
// for these loads.
asio::awaitable<void> replica_controller::run_renewals() {
    auto const alive = running_;
    instant renew_at;
    while (*alive) {
        instant const now = boot_clock::now();
        if (must_yield(now)) {
            co_await yield_partitions();
            renew_at = boot_clock::now() + state_->settings.leases.renewal;
        } else if (now >= renew_at) {
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
    // The lease is counted from before the call, because the store counts from
    // the arrival of the call, which is later.
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
    // Lease holders broadcast their claims to all nodes that they know. This
    // read is for nodes that they don't know yet: without it, a load request
    // would go to a node that no longer holds the lease of the replica's
    // partition, and the adapter would not be loaded.
    bool const changed = holders_generation_ != grant.value().generation;
    bool const missing = messenger_->lacks_reachable_lease_holder(now);
    duration const after_change = now < started_at_ + starting_time
                                      ? holders_starting_interval
                                      : holders_changed_interval;
    duration const after_loss =
        changed ? std::min(after_change, holders_missing_interval)
                : holders_missing_interval;
    duration const pause = missing   ? after_loss
                           : changed ? after_change
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
    state_->startup.set_peers(state_->own_address, others);
    messenger_->query_declared();
}

asio::awaitable<void>
replica_controller::claim_partition(std::size_t partition) {
    auto const alive = running_;
    // The offset of a record in the log belongs to one node only, and that of a
    // later lease holder is higher: it serves as the fencing number.
    std::string topic = topic_name(partition / partitions_per_topic);
    std::string record = state_->own_address;
    auto const offset = co_await store_->append(
        std::move(topic),
        static_cast<unsigned>(partition % partitions_per_topic),
        std::move(record));
    if (!*alive || !offset) {
        co_return;
    }
    std::uint64_t const token = fencing_number(offset.value());
    if (state_->leases.set_token(partition, token)) {
        messenger_->set_lease_holder(partition, state_->own_address);
        messenger_->broadcast_claim(partition, token);
    }
}

} // namespace camphorpoint
