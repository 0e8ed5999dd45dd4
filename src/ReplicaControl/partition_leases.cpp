#include "ReplicaControl/partition_leases.hpp"

#include <algorithm>

namespace camphorpoint {

std::vector<std::size_t> partition_leases::on_renewal_granted(
    instant started, std::uint64_t generation,
    std::vector<std::size_t> const& partitions, instant now) {
    bool const lapsed = !valid(now);
    // After a rollback the store may have assigned the partitions to another
    // node once their lease had expired, and back to this node.
    bool const possibly_reassigned =
        epoch_ > renewal_epoch_ && started >= renewed_at_ + times_.lease;
    renewal_epoch_ = epoch_;
    renewed_at_ = started;
    generation_ = generation;
    failing_since_ = instant::max();
    std::map<std::size_t, held_partition> next;
    std::vector<std::size_t> gained_partitions;
    for (std::size_t const each : partitions) {
        auto const found = partitions_.find(each);
        bool const retained =
            found != partitions_.end() && !found->second.superseded && !lapsed;
        if (retained) {
            next[each] = found->second;
            next[each].exclusive_from =
                possibly_reassigned ? now : found->second.exclusive_from;
        } else {
            next[each] = {now, now, std::nullopt, false};
            gained_partitions.push_back(each);
        }
    }
    partitions_ = std::move(next);
    return gained_partitions;
}

void partition_leases::on_renewal_failed(instant now) {
    bool const in_lease = now < renewed_at_ + times_.lease;
    bool const consecutive =
        failing_since_ != instant::max() && now < last_failure_ + times_.lease;
    if (in_lease || consecutive) {
        failing_since_ = std::min(failing_since_, now);
    } else {
        failing_since_ = instant::max();
    }
    last_failure_ = now;
}

bool partition_leases::set_token(std::size_t partition, std::uint64_t token) {
    // Two holders must not share a fencing number: a store that loses its
    // newest records without reporting it assigns their log positions again.
    // The claim is repeated until its number is higher than all numbers seen.
    if (token <= highest_tokens_[partition]) {
        return false;
    }
    highest_tokens_[partition] = token;
    auto const found = partitions_.find(partition);
    if (found != partitions_.end()) {
        found->second.token = token;
    }
    return true;
}

void partition_leases::on_store_rollback(store_epoch epoch) {
    epoch_ = std::max(epoch_, epoch);
    generation_ = 0;
}

void partition_leases::on_higher_token(
    std::size_t partition, std::uint64_t token) {
    std::uint64_t& highest = highest_tokens_[partition];
    highest = std::max(highest, token);
    auto const found = partitions_.find(partition);
    if (found != partitions_.end() && found->second.token.value_or(0) < token) {
        found->second.superseded = true;
    }
}

void partition_leases::on_store_answered_other(instant at) {
    answered_other_at_ = std::max(answered_other_at_, at);
}

void partition_leases::clear() {
    partitions_.clear();
}

instant partition_leases::expires_at() const {
    instant const granted = renewed_at_ + times_.lease;
    bool const outage =
        times_.replicas_check_fencing && failing_since_ != instant::max();
    if (!outage) {
        return granted;
    }
    instant const extended = std::min(
        last_failure_ + times_.lease, renewed_at_ + times_.outage_extension);
    return std::max(granted, extended);
}

bool partition_leases::controls(std::size_t partition, instant now) const {
    auto const found = partitions_.find(partition);
    return found != partitions_.end() && !found->second.superseded &&
           valid(now) && now >= found->second.gained_at + times_.settling;
}

std::optional<std::uint64_t>
partition_leases::token(std::size_t partition, instant now) const {
    return controls(partition, now) ? partitions_.at(partition).token
                                    : std::nullopt;
}

instant partition_leases::next_settling_end(instant now) const {
    instant next = instant::max();
    for (auto const& [partition, each] : partitions_) {
        instant const settled = each.gained_at + times_.settling;
        if (!each.superseded && settled > now) {
            next = std::min(next, settled);
        }
    }
    return next;
}

std::vector<std::size_t> partition_leases::held_partitions() const {
    std::vector<std::size_t> all;
    for (auto const& [partition, each] : partitions_) {
        if (!each.superseded) {
            all.push_back(partition);
        }
    }
    return all;
}

std::optional<instant>
partition_leases::exclusive_since(std::size_t partition) const {
    return holds(partition)
               ? std::optional(partitions_.at(partition).exclusive_from)
               : std::nullopt;
}

std::optional<instant>
partition_leases::counting_since(std::size_t partition, instant now) const {
    // Renewals fail at some moment within an interval after an outage has
    // begun, and messages of other nodes are late. Guards against an outage for
    // all nodes that its holders take for their own.
    bool const own_outage =
        failing_since_ != instant::max() &&
        answered_other_at_ >= failing_since_ + times_.renewal;
    bool const entitled =
        own_outage ? now < renewed_at_ + times_.lease : valid(now);
    return entitled ? exclusive_since(partition) : std::nullopt;
}

std::size_t partition_leases::exclusive_partitions(instant now) const {
    if (now >= renewed_at_ + times_.lease) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::ranges::count_if(partitions_, [&](auto const& each) {
            return controls(each.first, now);
        }));
}

bool partition_leases::holds(std::size_t partition) const {
    auto const found = partitions_.find(partition);
    return found != partitions_.end() && !found->second.superseded;
}

std::vector<std::size_t> partition_leases::partitions_without_token() const {
    std::vector<std::size_t> all;
    for (auto const& [partition, each] : partitions_) {
        bool const claimed =
            each.token && *each.token >= first_fencing_number(epoch_);
        if (!claimed && !each.superseded) {
            all.push_back(partition);
        }
    }
    return all;
}

} // namespace camphorpoint
