// Replay of the control stream by the ownership manager.
#include "Ownership/ownership_manager.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace {

constexpr std::chrono::minutes prune_period{1};

} // namespace

void ownership_manager::on_batch(log_batch const& batch, instant now) {
    if (batch.stream != log_stream::control) {
        return;
    }
    switch (follower_.classify(batch)) {
    case log_follower::verdict::stale:
        follower_.on_read_failed(now);
        return;
    case log_follower::verdict::trimmed:
        restart_table(batch, now);
        break;
    case log_follower::verdict::usable:
        if (follower_.next() == log_offset{} && table_.size() == 0) {
            table_.restart(true);
        }
        break;
    }
    apply_records(batch, now);
    if (follower_.on_batch_applied(batch)) {
        reached_head(batch, now);
    } else if (follower_.begin_read(now)) {
        actions_.push_back(control_read{follower_.next()});
    }
}

void ownership_manager::on_read_failed(instant now) {
    follower_.on_read_failed(now);
}

// Handles a node that was paused for longer than the log retains records.
// Claims may have been appended and expired unread, so everything that the node
// held or knew is discarded. The event control_log_trimmed reports this.
void ownership_manager::restart_table(log_batch const& batch, instant now) {
    bool const first_read = follower_.next() == log_offset{};
    follower_.restart(batch.first);
    table_.restart(false);
    unnamed_claimable_from_.reset();
    takeovers_.clear();
    handovers_.clear();
    accepted_offers_.clear();
    early_stops_.clear();
    pending_gains_.clear();
    while (!holdings_.empty()) {
        resource_id const resource = holdings_.begin()->first;
        stop_holding(resource, node_run{}, now);
    }
    if (!first_read) {
        emit_log(
            event_code::control_log_trimmed, log_level::warning,
            fmt::format("first={}", batch.first.value));
    }
}

void ownership_manager::apply_records(log_batch const& batch, instant now) {
    for (log_record const& each : batch.records) {
        if (each.offset >= follower_.next()) {
            apply_record(each, now);
            follower_.on_record_applied(each.offset);
        }
    }
}

void ownership_manager::apply_record(log_record const& record, instant now) {
    std::optional<control_record> const read =
        decode_control_record(record.data);
    if (!read) {
        emit_log(
            event_code::control_record_broken, log_level::error,
            fmt::format("offset={}", record.offset.value));
        return;
    }
    instant learned_at = now;
    if (read->writer == self_) {
        std::optional<pending_append> const mine =
            appends_.read_back(read->append);
        // The answer arrived after the append took effect, so a wait may start
        // at the arrival of the answer.
        if (mine && mine->answered_at) {
            learned_at = *mine->answered_at;
        }
    } else {
        record_liveness(read->writer, now);
    }
    std::vector<resource_id> const changed = table_.apply(record.offset, *read);
    bool const valid =
        read->writer != self_ || appends_.started_here(read->append);
    for (resource_id const& each : changed) {
        // A record that names this run as its writer but has an unknown append
        // number was written by another process of the same node name that
        // started in the same millisecond.
        if (valid) {
            on_entry_changed(each, learned_at, now);
        } else {
            stop_holding(each, node_run{}, now);
        }
    }
}

// Only a record that was appended since the previous read proves that its
// writer is alive now; records read at startup may be old.
void ownership_manager::record_liveness(node_run const& writer, instant now) {
    std::uint64_t& run = written_runs_[writer.node];
    run = std::max(run, writer.run);
    if (log_is_current(now)) {
        last_record_at_[writer.node] = now;
    }
}

void ownership_manager::on_entry_changed(
    resource_id const& resource, instant learned_at, instant now) {
    ownership_entry const& entry = *table_.find(resource);
    if (entry.owner == self_) {
        start_holding(resource, entry, learned_at);
    } else if (holdings_.contains(resource)) {
        stop_holding(resource, entry.owner, now);
    }
    drop_superseded_offer(resource, entry.fencing);
    update_takeover(resource, now);
}

// Drops an accepted offer only once a later claim than the one it names is in
// force. An offer must be kept when it arrives before this node has read how
// its sender became the owner, which happens when a resource moves twice within
// one poll interval. Otherwise the state in the offer is lost, and bookings
// fail with key-unknown-after-takeover after a planned stop.
void ownership_manager::drop_superseded_offer(
    resource_id const& resource, log_offset in_force) {
    auto const found = accepted_offers_.find(resource);
    if (found != accepted_offers_.end() && found->second.fencing < in_force) {
        accepted_offers_.erase(found);
    }
}

void ownership_manager::start_holding(
    resource_id const& resource, ownership_entry const& entry,
    instant learned_at) {
    auto const held = holdings_.find(resource);
    if (held != holdings_.end()) {
        // Both claims are of this run and no other node claimed in between, so
        // ownership continues.
        held->second.fencing = entry.fencing;
        return;
    }
    holding next;
    next.fencing = entry.fencing;
    next.previous = entry.previous;
    // Prevents two nodes from acting as owner at the same time: the old holder
    // may act until its lease, which counts from its last read, has expired.
    // The wait must not start before the claim is in the log, measured by this
    // node's clock.
    next.effective_from = learned_at + settings_.claim_wait();
    next.evict_from = learned_at + settings_.evict_wait();
    if (entry.transferred) {
        apply_offer(resource, entry, next);
    } else if (entry.predecessor_stopped) {
        next.first = !entry.previous;
        next.effective_from = learned_at;
        next.evict_from = learned_at;
        next.planned = true;
    }
    auto const early = early_stops_.find(resource);
    if (early != early_stops_.end()) {
        end_evict_wait(next, early->second.message, early->second.received);
        early_stops_.erase(early);
    }
    holdings_.emplace(resource, std::move(next));
    pending_gains_.insert(resource);
}

// Only an offer that this run accepted contains the remaining time during which
// evictions must wait. Without one, a transfer is treated like any other claim,
// and the full wait applies.
void ownership_manager::apply_offer(
    resource_id const& resource, ownership_entry const& entry, holding& next) {
    auto const found = accepted_offers_.find(resource);
    bool const matches = found != accepted_offers_.end() &&
                         entry.predecessor_stopped &&
                         entry.previous == found->second.fencing;
    if (!matches) {
        return;
    }
    accepted_offer& offer = found->second;
    next.effective_from = offer.received;
    next.evict_from = std::max(offer.received, offer.evict_from);
    next.planned = true;
    next.table = std::move(offer.table);
}

void ownership_manager::stop_holding(
    resource_id const& resource, node_run const& new_owner, instant now) {
    auto const found = holdings_.find(resource);
    if (found == holdings_.end()) {
        return;
    }
    holding const held = std::move(found->second);
    holdings_.erase(found);
    pending_gains_.erase(resource);
    bool const planned = handovers_.is_moving(resource);
    handovers_.finish(resource);
    if (held.reported) {
        emit_log(
            event_code::ownership_lost, log_level::info,
            fmt::format(
                "resource={} fencing={} to={}", to_string(resource),
                held.fencing.value, new_owner.node.str()));
        actions_.push_back(
            ownership_lost{resource, held.fencing, new_owner.node});
    }
    bool const other = !new_owner.node.empty() && new_owner.node != self_.node;
    if (other && !planned) {
        holder_stopped const stopped{
            resource, held.fencing, remaining_wait(held.evict_from, now)};
        actions_.push_back(send_ownership_message{new_owner.node, stopped});
    }
}

void ownership_manager::reached_head(log_batch const& batch, instant now) {
    for (pending_append const& each :
         appends_.drain_absent(batch.read_started, settings_.read_lag)) {
        handle_failed_append(each.record, now);
    }
    if (!unnamed_claimable_from_) {
        // Nodes whose claims have expired renew them as soon as they can read
        // the log again. Until then a missing entry does not prove that a
        // resource has no owner.
        unnamed_claimable_from_ = now;
        if (!table_.complete()) {
            *unnamed_claimable_from_ += settings_.log_liveness_window;
        }
        update_all_takeovers(now);
    }
    prune(batch, now);
}

void ownership_manager::prune(log_batch const& batch, instant now) {
    for (auto const& [resource, held] : holdings_) {
        ownership_entry const* entry = table_.find(resource);
        if (entry != nullptr && entry->last_named_at < batch.first &&
            appends_.empty()) {
            next_renewal_ = now;
        }
    }
    if (now < next_prune_) {
        return;
    }
    next_prune_ = now + prune_period;
    std::vector<resource_id> const dropped =
        table_.prune(prune_before_, self_.node);
    for (resource_id const& each : dropped) {
        update_takeover(each, now);
    }
    // Entries that expire now are dropped one period later, so their owners
    // have that long to renew them.
    prune_before_ = batch.first;
}

void ownership_manager::on_append_ended(
    std::uint64_t append, append_result how, log_offset /*offset*/,
    instant now) {
    switch (how) {
    case append_result::appended:
        appends_.on_answered(append, now);
        return;
    case append_result::lost:
        appends_.on_lost(append, now);
        return;
    case append_result::not_sent:
        break;
    }
    if (std::optional<pending_append> const none = appends_.read_back(append)) {
        handle_failed_append(none->record, now);
    }
}

// The record of an append that was classified as lost may still arrive. This is
// harmless: a second claim of the same run continues the first, a release that
// does not end the latest claim is void, and a claim that follows another
// node's claim is a new one whose owner has to wait.
void ownership_manager::handle_failed_append(
    control_record const& record, instant now) {
    instant const retry = now + settings_.poll;
    for (claim const& each : record.claims) {
        update_takeover(each.resource, now);
        if (orphaned(each.resource)) {
            takeovers_.postpone(each.resource, retry);
        }
    }
    if (!record.renewals.empty()) {
        next_renewal_ = retry;
    }
    for (release const& each : record.releases) {
        handovers_.append_failed(each.resource, retry);
    }
}

} // namespace camphorpoint
