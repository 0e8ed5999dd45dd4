#include "ReplicaControl/partition_leases.hpp"

#include <algorithm>

namespace camphorpoint {

std::vector<std::size_t> partition_leases::on_renewal_granted(
    instant started, std::uint64_t generation,
    std::vector<std::size_t> const& partitions, instant now) {
    bool const lapsed = !valid(now);
    // A store that has gone back may have given the partitions to another once
    // their lease was over, and taken them back.
    bool const unsure =
        era_ > granted_era_ && started >= renewed_ + times_.lease;
    granted_era_ = era_;
    renewed_ = started;
    generation_ = generation;
    failing_since_ = instant::max();
    std::map<std::size_t, holding> next;
    std::vector<std::size_t> fresh;
    for (std::size_t const each : partitions) {
        auto const found = held_.find(each);
        bool const kept =
            found != held_.end() && !found->second.lost && !lapsed;
        if (kept) {
            next[each] = found->second;
            next[each].since = unsure ? now : found->second.since;
        } else {
            next[each] = {now, now, std::nullopt, false};
            fresh.push_back(each);
        }
    }
    held_ = std::move(next);
    return fresh;
}

void partition_leases::on_renewal_failed(instant now) {
    bool const in_lease = now < renewed_ + times_.lease;
    bool const in_row =
        failing_since_ != instant::max() && now < last_failure_ + times_.lease;
    if (in_lease || in_row) {
        failing_since_ = std::min(failing_since_, now);
    } else {
        failing_since_ = instant::max();
    }
    last_failure_ = now;
}

bool partition_leases::set_token(std::size_t partition, std::uint64_t token) {
    // Guards against a number that another holder has too: a store that has
    // lost its newest records without saying so gives their places out again.
    // The claim is made again until its number is higher.
    if (token <= shown_[partition]) {
        return false;
    }
    shown_[partition] = token;
    auto const found = held_.find(partition);
    if (found != held_.end()) {
        found->second.token = token;
    }
    return true;
}

void partition_leases::on_store_rollback(store_epoch epoch) {
    era_ = std::max(era_, epoch);
    generation_ = 0;
}

void partition_leases::on_higher_token(
    std::size_t partition, std::uint64_t token) {
    std::uint64_t& shown = shown_[partition];
    shown = std::max(shown, token);
    auto const found = held_.find(partition);
    if (found != held_.end() && found->second.token.value_or(0) < token) {
        found->second.lost = true;
    }
}

void partition_leases::clear() {
    held_.clear();
}

instant partition_leases::expires_at() const {
    instant const granted = renewed_ + times_.lease;
    bool const outage =
        times_.replicas_check_fencing && failing_since_ != instant::max();
    if (!outage) {
        return granted;
    }
    instant const extended = std::min(
        last_failure_ + times_.lease, renewed_ + times_.outage_extension);
    return std::max(granted, extended);
}

std::optional<std::uint64_t>
partition_leases::token(std::size_t partition, instant now) const {
    auto const found = held_.find(partition);
    if (found == held_.end() || found->second.lost || !valid(now) ||
        now < found->second.gained + times_.settling) {
        return std::nullopt;
    }
    return found->second.token;
}

instant partition_leases::next_settling_end(instant now) const {
    instant next = instant::max();
    for (auto const& [partition, each] : held_) {
        instant const settled = each.gained + times_.settling;
        if (!each.lost && settled > now) {
            next = std::min(next, settled);
        }
    }
    return next;
}

std::vector<std::size_t> partition_leases::held_partitions() const {
    std::vector<std::size_t> all;
    for (auto const& [partition, each] : held_) {
        if (!each.lost) {
            all.push_back(partition);
        }
    }
    return all;
}

std::optional<instant>
partition_leases::exclusive_since(std::size_t partition) const {
    return holds(partition) ? std::optional(held_.at(partition).since)
                            : std::nullopt;
}

bool partition_leases::holds(std::size_t partition) const {
    auto const found = held_.find(partition);
    return found != held_.end() && !found->second.lost;
}

std::vector<std::size_t> partition_leases::partitions_without_token() const {
    std::vector<std::size_t> all;
    for (auto const& [partition, each] : held_) {
        bool const claimed =
            each.token && *each.token >= first_fencing_number(era_);
        if (!claimed && !each.lost) {
            all.push_back(partition);
        }
    }
    return all;
}

} // namespace camphorpoint
