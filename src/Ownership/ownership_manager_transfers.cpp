// Claims, renewals and handovers of the ownership manager.
#include "Ownership/ownership_manager.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace camphorpoint {

namespace {

/// Bounds the work of a tick, because ranking one resource costs one hash per
/// live node: 64 resources and 1,900 nodes are 121,600 short hashes.
constexpr std::size_t ranked_per_tick = 64;
/// Largest number of resources that one record names; it keeps a record below
/// 32 KB.
constexpr std::size_t resources_per_record = 256;
/// Rebalancing interval per live node. The interval grows with the number of
/// nodes to bound the appends of all nodes together: at 1,900 nodes each node
/// moves at most one resource in 95 s, which is 20 appends per second.
constexpr std::chrono::milliseconds rebalance_interval_per_node{50};
constexpr std::size_t rebalance_checks_per_round = 8;
/// Minimum interval between claims; resources that become due in between are
/// claimed in one record.
constexpr std::chrono::seconds claim_spacing{1};
/// Number of rebalancing periods to wait after a handover timed out, so that a
/// successor that did not accept is not asked again soon.
constexpr int rebalance_backoff_periods = 6;
constexpr unsigned renewals_per_retention = 4;
/// Delay before a takeover that waits for the next read of the log is checked
/// again.
constexpr std::chrono::milliseconds takeover_recheck{50};
/// Number of further nodes that a planned stop tries when a successor does not
/// accept the state of a resource.
constexpr std::size_t max_tried_successors = 3;

} // namespace

void ownership_manager::set_candidates(
    std::vector<owner_candidate> const& live,
    std::vector<resource_id> const& resources, instant now) {
    std::set<resource_id> const before = std::exchange(
        resources_, std::set<resource_id>(resources.begin(), resources.end()));
    set_live(live, now);
    for (resource_id const& each : resources_) {
        if (!before.contains(each)) {
            update_takeover(each, now);
        }
    }
    for (resource_id const& each : before) {
        if (!resources_.contains(each)) {
            takeovers_.remove(each);
        }
    }
}

void ownership_manager::set_live(
    std::vector<owner_candidate> const& live, instant now) {
    std::map<node_id, live_run> next;
    for (owner_candidate const& each : live) {
        auto const known = live_.find(each.id);
        bool const same = known != live_.end() && known->second.run == each.run;
        instant const since = same ? known->second.since : now;
        next[each.id] = {each.run, each.leaving, since};
    }
    std::set<node_id> changed;
    for (auto const& [id, entry] : next) {
        auto const known = live_.find(id);
        bool const same = known != live_.end() &&
                          known->second.run == entry.run &&
                          known->second.leaving == entry.leaving;
        if (!same) {
            changed.insert(id);
        }
    }
    for (auto const& [id, entry] : live_) {
        if (!next.contains(id)) {
            changed.insert(id);
        }
    }
    if (changed.empty()) {
        return;
    }
    live_ = std::move(next);
    rank_live();
    takeovers_.rerank_all();
    for (node_id const& each : changed) {
        // The set is copied because update_takeover may change what a node
        // owns.
        std::set<resource_id> const owned = table_.owned_by(each);
        for (resource_id const& resource : owned) {
            update_takeover(resource, now);
        }
    }
}

void ownership_manager::rank_live() {
    std::vector<node_id> nodes;
    nodes.reserve(live_.size());
    for (auto const& [id, entry] : live_) {
        bool const stops = entry.leaving || (draining_ && id == self_.node);
        if (!stops) {
            nodes.push_back(id);
        }
    }
    ranking_.set_nodes(nodes);
}

void ownership_manager::update_all_takeovers(instant now) {
    for (resource_id const& each : resources_) {
        update_takeover(each, now);
    }
}

void ownership_manager::update_takeover(
    resource_id const& resource, instant now) {
    if (orphaned(resource)) {
        takeovers_.add(resource, now);
    } else {
        takeovers_.remove(resource);
    }
}

bool ownership_manager::orphaned(resource_id const& resource) const {
    if (draining_ || !unnamed_claimable_from_ ||
        !resources_.contains(resource)) {
        return false;
    }
    if (holdings_.contains(resource) || appends_.claims(resource)) {
        return false;
    }
    ownership_entry const* entry = table_.find(resource);
    return entry == nullptr || !entry->owned() || !is_live(entry->owner);
}

bool ownership_manager::is_live(node_run const& who) const {
    if (who.node == self_.node) {
        // Resources claimed by an earlier run of this node do not belong to
        // this run.
        return who.run == self_.run;
    }
    auto const found = live_.find(who.node);
    return found != live_.end() && found->second.run <= who.run;
}

std::optional<instant>
ownership_manager::claimable_from(resource_id const& resource) const {
    ownership_entry const* entry = table_.find(resource);
    if (entry == nullptr) {
        return unnamed_claimable_from_;
    }
    // Prevents two nodes that cannot reach each other, but can both read the
    // log, from repeatedly taking a resource from each other.
    auto const seen = last_record_at_.find(entry->owner.node);
    if (!entry->owned() || seen == last_record_at_.end()) {
        return std::nullopt;
    }
    auto const listed = live_.find(entry->owner.node);
    bool const restarted =
        listed != live_.end() && listed->second.run > entry->owner.run;
    if (restarted) {
        return std::nullopt;
    }
    return seen->second + settings_.log_liveness_window;
}

void ownership_manager::rank_pending(instant now) {
    for (resource_id const& each : takeovers_.drain_unranked(ranked_per_tick)) {
        std::size_t const rank = ranking_.rank_of(self_.node, each);
        duration const delay = settings_.rank_delay;
        takeovers_.schedule(each, delay * static_cast<std::int64_t>(rank));
        std::optional<instant> const from = claimable_from(each);
        if (from && now < *from) {
            takeovers_.postpone(
                each, *from + delay * static_cast<std::int64_t>(rank));
        }
    }
}

// Prevents a claim of a resource that a node handed over just before it shut
// down. The instance list may drop the node before this node has read its
// release; a claim would then take the resource from the successor that has the
// state, and bookings would fail with key-unknown-after-takeover. A read that
// began after the node left the list shows all records that the node wrote.
bool ownership_manager::has_read_since(instant missed) const {
    std::optional<instant> const fresh = follower_.fresh_as_of();
    return fresh && *fresh >= missed;
}

void ownership_manager::claim_due(instant now) {
    if (now < next_claim_) {
        return;
    }
    control_record record;
    for (resource_id const& each :
         takeovers_.drain_due(now, resources_per_record)) {
        std::optional<instant> const from = claimable_from(each);
        if (from && now < *from) {
            takeovers_.postpone(each, *from);
            continue;
        }
        if (!has_read_since(takeovers_.since(each))) {
            takeovers_.postpone(each, now + takeover_recheck);
            continue;
        }
        takeovers_.remove(each);
        record.claims.push_back({each});
    }
    if (record.claims.empty()) {
        return;
    }
    emit_log(
        event_code::claim_appended, log_level::info,
        fmt::format(
            "resources={} first={}", record.claims.size(),
            to_string(record.claims.front().resource)));
    next_claim_ = now + claim_spacing;
    append(std::move(record), now);
}

void ownership_manager::schedule_renewal(instant now) {
    duration const whole =
        duration(settings_.retention) / renewals_per_retention;
    // The time is spread over the last quarter of the interval, so that nodes
    // that started together do not append together.
    duration const quarter = whole / 4;
    auto const part = static_cast<std::int64_t>(
        random_() % static_cast<std::uint64_t>(quarter.count()));
    next_renewal_ = now + whole - duration(part);
}

void ownership_manager::renew(instant now) {
    if (!next_renewal_) {
        schedule_renewal(now);
    }
    if (now < *next_renewal_) {
        return;
    }
    schedule_renewal(now);
    control_record record;
    for (auto const& [resource, held] : holdings_) {
        if (!resources_.contains(resource) && !handovers_.is_moving(resource)) {
            // The platform's registry no longer lists the resource, so it is
            // released without a successor.
            begin_handover(resource, node_id(), now);
            continue;
        }
        record.renewals.push_back({resource, held.fencing});
        if (record.renewals.size() == resources_per_record) {
            append(std::exchange(record, {}), now);
        }
    }
    if (!record.renewals.empty()) {
        append(std::move(record), now);
    }
}

// A node from which no probe message was received may still be known by the
// records that it wrote to the log.
std::uint64_t ownership_manager::latest_run(node_id const& node) const {
    auto const listed = live_.find(node);
    auto const wrote = written_runs_.find(node);
    return std::max(
        listed == live_.end() ? 0 : listed->second.run,
        wrote == written_runs_.end() ? 0 : wrote->second);
}

bool ownership_manager::may_move_to(
    node_id const& successor, instant now) const {
    auto const found = live_.find(successor);
    return successor != self_.node && found != live_.end() &&
           found->second.run != 0 && !found->second.leaving &&
           now >= found->second.since + settings_.log_liveness_window;
}

void ownership_manager::rebalance(instant now) {
    if (draining_ || holdings_.empty() || now < next_rebalance_) {
        return;
    }
    duration const shared = duration(rebalance_interval_per_node) *
                            static_cast<std::int64_t>(live_.size());
    next_rebalance_ = now + std::max(duration(settings_.rebalance), shared);
    std::size_t const looks =
        std::min(rebalance_checks_per_round, holdings_.size());
    for (std::size_t count = 0; count < looks; ++count) {
        auto next = holdings_.upper_bound(rebalance_cursor_);
        if (next == holdings_.end()) {
            next = holdings_.begin();
        }
        rebalance_cursor_ = next->first;
        node_id const better = ranking_.first(next->first);
        if (evict_authority(next->first, now) && may_move_to(better, now)) {
            begin_handover(next->first, better, now);
            return;
        }
    }
}

void ownership_manager::begin_handover(
    resource_id const& resource, node_id const& successor, instant now) {
    holding const& held = holdings_[resource];
    outgoing_handover move;
    move.resource = resource;
    move.fencing = held.fencing;
    move.draining = draining_;
    move.may_evict = now >= held.evict_from;
    std::uint64_t const run = latest_run(successor);
    if (held.reported && run != 0) {
        move.successor = {successor, run};
    }
    handovers_.begin(move, now);
    if (held.reported) {
        actions_.push_back(handover_requested{resource, successor});
    } else {
        // This node's ownership has not taken effect yet, so the previous
        // holder may still act and the next owner must wait as well.
        handovers_.release_without_successor(resource);
    }
}

std::chrono::milliseconds
ownership_manager::remaining_wait(instant end, instant now) {
    duration const left = std::max(duration::zero(), end - now);
    return std::chrono::ceil<std::chrono::milliseconds>(left);
}

// The remaining time was measured by another node's clock, so the clock rate
// error is added.
instant
ownership_manager::wait_end(std::chrono::milliseconds left, instant now) const {
    constexpr std::int64_t million = 1'000'000;
    duration const span = left;
    return now + span + span * settings_.clock_rate_error / million;
}

void ownership_manager::handover_ready(
    resource_id const& resource, std::string table, instant now) {
    outgoing_handover const* move = handovers_.on_stopped(resource, now);
    auto const held = holdings_.find(resource);
    if (move == nullptr || held == holdings_.end()) {
        return;
    }
    handover_offer offer;
    offer.resource = resource;
    offer.fencing = move->fencing;
    offer.successor_run = move->successor.run;
    offer.evict_wait_left = remaining_wait(held->second.evict_from, now);
    offer.table = std::move(table);
    actions_.push_back(
        send_ownership_message{move->successor.node, std::move(offer)});
}

// Handles two nodes that stop at the same time and choose each other as
// successor. Neither would accept; both would release without a successor, and
// the next owner would start without the state, as after a crash, so that
// bookings fail with key-unknown-after-takeover. Instead, the stopping node
// offers the state to the next node in the ranking as soon as it learns that
// its successor stops as well.
void ownership_manager::retry_other_successors(instant now) {
    for (outgoing_handover const& move : handovers_.offered()) {
        auto const listed = live_.find(move.successor.node);
        bool const stops = listed == live_.end() || listed->second.leaving;
        bool const in_time = now < move.deadline && !stops;
        if (in_time || move.tried_successors.size() >= max_tried_successors) {
            continue;
        }
        std::set<node_id> excluded = move.tried_successors;
        excluded.insert(move.successor.node);
        node_id const next = ranking_.first_excluding(excluded, move.resource);
        std::uint64_t const run = latest_run(next);
        if (run != 0) {
            handovers_.redirect(move.resource, {next, run}, now);
            actions_.push_back(handover_requested{move.resource, next});
        }
    }
}

void ownership_manager::run_handovers(instant now) {
    if (draining_) {
        retry_other_successors(now);
    }
    for (resource_id const& each : handovers_.expire(now)) {
        emit_log(
            event_code::handover_given_up, log_level::warning,
            fmt::format("resource={}", to_string(each)));
        actions_.push_back(handover_aborted{each});
        next_rebalance_ =
            now + duration(settings_.rebalance) * rebalance_backoff_periods;
    }
    control_record record;
    record.releases = handovers_.start_releases(now);
    if (!record.releases.empty()) {
        append(std::move(record), now);
    }
}

void ownership_manager::on_message(
    node_id const& from, ownership_message const& message, instant now) {
    std::visit([&](auto const& each) { handle(from, each, now); }, message);
}

void ownership_manager::handle(
    node_id const& from, handover_offer const& offer, instant now) {
    if (draining_ || offer.successor_run != self_.run) {
        return;
    }
    accepted_offer& mine = accepted_offers_[offer.resource];
    mine.fencing = offer.fencing;
    mine.received = now;
    mine.evict_from = wait_end(offer.evict_wait_left, now);
    mine.table = offer.table;
    handover_accepted const answer{offer.resource, offer.fencing};
    actions_.push_back(send_ownership_message{from, answer});
}

void ownership_manager::handle(
    node_id const& from, handover_accepted const& accepted, instant /*now*/) {
    handovers_.on_accepted(accepted.resource, from, accepted.fencing);
}

// The former holder has read this node's claim and stopped for good, so its
// last grants arrive at the latest after the longest transit time of a message.
// Holders before it may not have read the claim yet; for these, the former
// holder's own remaining wait still applies.
void ownership_manager::handle(
    node_id const& /*from*/, holder_stopped const& stopped, instant now) {
    auto const found = holdings_.find(stopped.resource);
    if (found == holdings_.end()) {
        early_stops_[stopped.resource] = {stopped, now};
        return;
    }
    end_evict_wait(found->second, stopped, now);
}

void ownership_manager::end_evict_wait(
    holding& held, holder_stopped const& stopped, instant received) {
    if (held.previous != stopped.fencing) {
        return;
    }
    instant const from = std::max(
        {held.effective_from, received + duration(settings_.command_transit),
         wait_end(stopped.evict_wait_left, received)});
    held.evict_from = std::min(held.evict_from, from);
}

} // namespace camphorpoint
