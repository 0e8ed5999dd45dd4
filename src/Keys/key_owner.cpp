#include "Keys/key_owner.hpp"

#include <utility>

namespace camphorpoint {

namespace {

constexpr std::chrono::seconds clock_warning_interval{10};

} // namespace

void key_owner::on_shard_gained(
    key_shard shard, key_claim const& claim, clock_reading const& clock) {
    auto const old = tables_.find(shard);
    bool const continues =
        old != tables_.end() && claim.previous == old->second.fencing();
    claims_[shard] = claim;
    if (continues) {
        old->second.begin_claim(claim.fencing);
        return;
    }
    tables_.erase(shard);
    key_table& table =
        tables_.try_emplace(shard, settings_, memory_, shard).first->second;
    table.begin_claim(claim.fencing);
    // The previous owner's clock may have been ahead of this node's clock by up
    // to the clock error, and it accepted keys up to the limit ahead of its own
    // clock.
    if (!claim.first) {
        table.set_unknown_up_to(
            clock.wall + settings_.ahead_limit + settings_.clock_error);
    }
    adopt_staged(shard, clock);
}

void key_owner::on_shard_lost(key_shard shard) {
    tables_.erase(shard);
    claims_.erase(shard);
}

void key_owner::on_permission_request(
    node_id const& from, key_permission_request const& message,
    instant authority_until, clock_reading const& clock) {
    auto const found = tables_.find(message.shard);
    if (found == tables_.end()) {
        refuse(from, message, reason::owner_unreachable);
        return;
    }
    key_table& table = found->second;
    bool const agree = clocks_agree(from, message, clock);
    if (!agree && !message.idempotent && table.find(message.key) == nullptr) {
        refuse(from, message, reason::key_clock_disagrees);
        return;
    }
    table.on_permission_request(
        from, message, clock.now < authority_until, clock);
    send_replies(table);
}

void key_owner::on_completion(
    node_id const& from, key_completion const& completion,
    instant authority_until, clock_reading const& clock) {
    auto const found = tables_.find(completion.shard);
    if (found == tables_.end()) {
        return;
    }
    key_table& table = found->second;
    bool const has_authority = clock.now < authority_until;
    if (table.on_completion(from, completion, has_authority, clock)) {
        actions_.push_back(key_send{
            from, key_completion_ack{completion.request, completion.attempt}});
    }
    send_replies(table);
}

void key_owner::on_heartbeat(
    node_id const& from, key_heartbeat const& heartbeat,
    clock_reading const& clock) {
    for (running_key const& each : heartbeat.running) {
        auto const found = tables_.find(each.shard);
        if (found != tables_.end()) {
            found->second.on_heartbeat(from, each, clock);
        }
    }
}

void key_owner::on_handover(
    key_handover const& part, clock_reading const& clock) {
    staged_table& staged = staged_[part.shard];
    if (part.fencing < staged.fencing) {
        return;
    }
    if (part.fencing > staged.fencing) {
        staged = {};
        staged.fencing = part.fencing;
    }
    staged.unknown_up_to = part.unknown_up_to;
    staged.expected = part.parts;
    staged.parts[part.part] = part.records;
    adopt_staged(part.shard, clock);
}

void key_owner::adopt_staged(key_shard shard, clock_reading const& clock) {
    auto const claim = claims_.find(shard);
    auto const staged = staged_.find(shard);
    if (claim == claims_.end() || staged == staged_.end()) {
        return;
    }
    // The staged table is complete only if it belongs to the claim directly
    // before this one: after closing its table, an owner gives no more
    // permissions under that claim. The table of an older claim lacks the
    // permissions that a later owner gave.
    bool const complete =
        staged->second.parts.size() == staged->second.expected;
    bool const is_direct_predecessor =
        claim->second.handed_over &&
        claim->second.previous == staged->second.fencing;
    if (!complete || !is_direct_predecessor) {
        return;
    }
    std::vector<key_record> all;
    for (auto const& [part, records] : staged->second.parts) {
        all.insert(all.end(), records.begin(), records.end());
    }
    // The bound of the previous owner is imported with its table, since the
    // previous owner's table may itself lack records of keys up to that time.
    tables_.at(shard).import_records(all, staged->second.unknown_up_to, clock);
    staged_.erase(staged);
}

std::vector<key_handover> key_owner::close_and_export(key_shard shard) {
    auto const found = tables_.find(shard);
    if (found == tables_.end()) {
        return {};
    }
    found->second.close();
    return found->second.export_parts();
}

void key_owner::reopen(key_shard shard) {
    auto const found = tables_.find(shard);
    if (found != tables_.end()) {
        found->second.begin_claim(found->second.fencing());
    }
}

void key_owner::hand_over(key_shard shard, node_id const& successor) {
    std::vector<key_handover> parts = close_and_export(shard);
    if (successor.empty()) {
        // No other node remains. The node that claims the shard later finds no
        // table, and decides about keys by the time of its takeover.
        return;
    }
    for (key_handover& part : parts) {
        actions_.push_back(key_send{successor, std::move(part)});
    }
}

void key_owner::tick(clock_reading const& clock) {
    for (auto& [shard, table] : tables_) {
        table.tick(clock);
        send_replies(table);
    }
}

std::vector<key_action> key_owner::take_actions() {
    return std::exchange(actions_, {});
}

bool key_owner::clocks_agree(
    node_id const& from, key_permission_request const& message,
    clock_reading const& clock) {
    // A node whose calendar clock is wrong, for instance because time
    // synchronization failed, breaks the bound of the takeover check, and work
    // could be executed a second time after a crash. A permission request that
    // was delayed in transit looks the same; the entry node sends it again.
    auto const ahead = message.sent - clock.wall;
    if (ahead <= settings_.clock_error && -ahead <= settings_.clock_error) {
        return true;
    }
    if (!last_clock_warning_ ||
        clock.now - *last_clock_warning_ >= clock_warning_interval) {
        last_clock_warning_ = clock.now;
        actions_.push_back(key_clock_skew{from, ahead});
    }
    return false;
}

void key_owner::refuse(
    node_id const& to, key_permission_request const& message, reason why) {
    key_reply reply_message;
    reply_message.request = message.request;
    reply_message.attempt = message.attempt;
    reply_message.shard = message.shard;
    reply_message.verdict = key_verdict::refused;
    reply_message.why = why;
    reply_message.retry_after = settings_.retry_after;
    actions_.push_back(key_send{to, reply_message});
}

void key_owner::send_replies(key_table& table) {
    for (addressed_reply& each : table.drain_replies()) {
        actions_.push_back(key_send{each.to, std::move(each.reply)});
    }
}

} // namespace camphorpoint
