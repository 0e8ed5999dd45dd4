#include "Fleet/replica_reachability.hpp"

#include <algorithm>
#include <chrono>

namespace camphorpoint {

namespace {

/// Replicas that fail in a row before the node doubts its own links. Two crash
/// at the same time now and then.
constexpr std::size_t failures_to_doubt = 2;
/// Failures further apart than this are unrelated.
constexpr duration failure_lifetime = std::chrono::seconds(2);
/// A replica that could not be reached is avoided for about this long, so that
/// no newer connection shows whether it is reached again.
constexpr duration unreached_lifetime = std::chrono::seconds(5);
/// Minimum time between two probes: while the node is partitioned, its requests
/// take a detour for this long after the links are back.
constexpr duration probe_interval = std::chrono::milliseconds(500);

} // namespace

std::size_t replica_reachability::recent(
    failures const& of, duration lifetime, instant now) {
    return static_cast<std::size_t>(std::ranges::count_if(
        of, [=](auto const& each) { return now < each.second + lifetime; }));
}

void replica_reachability::end_doubt() {
    failed_connects_.clear();
    missing_answers_.clear();
    exhausted_at_ = {};
}

void replica_reachability::on_connected(endpoint_id const& replica) {
    end_doubt();
    unreached_replicas_.erase(replica);
}

void replica_reachability::on_connect_failed(
    endpoint_id const& replica, instant now) {
    failed_connects_[replica] = now;
    unreached_replicas_[replica] = now;
}

void replica_reachability::on_answer_missing(
    endpoint_id const& replica, instant now) {
    missing_answers_[replica] = now;
}

void replica_reachability::on_answered() {
    missing_answers_.clear();
}

void replica_reachability::on_replicas_exhausted(instant now) {
    exhausted_at_ = now;
}

bool replica_reachability::in_doubt(instant now) const {
    bool const exhausted =
        exhausted_at_ != instant{} && now < exhausted_at_ + failure_lifetime;
    return partitioned_ || exhausted ||
           recent(failed_connects_, failure_lifetime, now) >=
               failures_to_doubt ||
           recent(missing_answers_, failure_lifetime, now) >= failures_to_doubt;
}

bool replica_reachability::probe_due(instant now) {
    bool const due =
        !probe_running_ && in_doubt(now) &&
        (probed_at_ == instant{} || now >= probed_at_ + probe_interval);
    if (due) {
        probe_running_ = true;
        probed_at_ = now;
    }
    return due;
}

bool replica_reachability::on_probe_result(bool any_connected, instant now) {
    probe_running_ = false;
    probed_at_ = now;
    if (any_connected) {
        end_doubt();
    }
    std::erase_if(unreached_replicas_, [now](auto const& each) {
        return now >= each.second + unreached_lifetime;
    });
    bool const before = partitioned_;
    partitioned_ = !any_connected;
    return partitioned_ != before;
}

replica_links replica_reachability::links(instant now) const {
    if (partitioned_) {
        return replica_links::cut;
    }
    return recent(unreached_replicas_, unreached_lifetime, now) >=
                   failures_to_doubt
               ? replica_links::partly_cut
               : replica_links::intact;
}

} // namespace camphorpoint
