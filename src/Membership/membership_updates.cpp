// What membership makes of news about nodes.
#include "Membership/membership.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace camphorpoint {

namespace {

/// One node's broken link or fault must not remove another node.
constexpr std::size_t accusers_needed = 2;
/// News carries no more names than a datagram has room for.
constexpr std::size_t accusers_told = 3;
/// With so much news waiting, joins are no longer told on: two probes' worth.
constexpr std::size_t most_joins_told = 12;

update_kind kind_of(node_state state) {
    switch (state) {
    case node_state::live:
        return update_kind::node_alive;
    case node_state::suspect:
        return update_kind::node_suspect;
    case node_state::dead:
        return update_kind::node_dead;
    case node_state::leaving:
        return update_kind::node_leaving;
    }
    return update_kind::node_alive;
}

} // namespace

void membership::apply(membership_update const& update, instant now) {
    if (update.kind == update_kind::endpoint_leaving) {
        report_endpoint_leaving(endpoint_id(update.name), now);
        return;
    }
    node_id const id(update.name);
    if (id == self_.id) {
        apply_to_self(update);
        return;
    }
    bool const joins = settings_.source == member_source::gossip &&
                       update.kind == update_kind::node_alive;
    if (joins && !members_.contains(id)) {
        member const& who = meet(id, update.of);
        // Where all nodes begin at once, their names would fill the probes for
        // minutes and hold up word of a dead one: asking brings them sooner.
        if (updates_.size() < most_joins_told) {
            tell(who);
        }
    }
    auto const found = members_.find(id);
    if (found == members_.end()) {
        return;
    }
    switch (update.kind) {
    case update_kind::node_alive:
        apply_alive(found->second, update);
        return;
    case update_kind::node_suspect:
        apply_suspect(found->second, update, now);
        return;
    case update_kind::node_dead:
        apply_dead(found->second, update, now);
        return;
    case update_kind::node_leaving:
        apply_leaving(found->second, update);
        return;
    case update_kind::endpoint_leaving:
        return;
    }
}

// A paused node wakes to find itself suspected or dead: it answers with a
// higher incarnation, which beats all that was said. What is said of an
// earlier run does not concern this one.
void membership::apply_to_self(membership_update const& update) {
    if (settings_.source == member_source::gossip &&
        update.at.start_time_ms > at_.start_time_ms) {
        outlive(update.at);
        return;
    }
    bool const concerns = update.kind == update_kind::node_suspect ||
                          update.kind == update_kind::node_dead;
    if (!concerns || update.at.start_time_ms != at_.start_time_ms ||
        update.at < at_) {
        return;
    }
    at_.refutations = update.at.refutations + 1;
    say(event_code::suspicion_refuted, log_level::warning,
        fmt::format("refuted={}", at_.refutations));
    tell_self();
}

void membership::apply_alive(member& who, membership_update const& update) {
    if (update.at <= who.at) {
        return;
    }
    bool const other_run = update.at.start_time_ms != who.at.start_time_ms;
    // That a listed node lives is no news to the others; were it told on, a
    // cluster's start would fill the probes for half an hour.
    bool const news = accused(who) || (other_run && who.at.start_time_ms != 0);
    who.at = update.at;
    who.accusers.clear();
    if (who.state == node_state::leaving && !other_run) {
        return;
    }
    if (who.state == node_state::dead) {
        say(event_code::node_returned, log_level::info,
            fmt::format("node={}", who.instance.id.str()));
    }
    change_count_ += other_run ? 1 : 0;
    set_state(who, node_state::live);
    if (news) {
        tell(who);
    }
}

void membership::apply_suspect(
    member& who, membership_update const& update, instant now) {
    bool const newer = update.at > who.at;
    if (update.at < who.at || (who.state == node_state::dead && !newer)) {
        return;
    }
    if (newer) {
        change_count_ +=
            update.at.start_time_ms != who.at.start_time_ms ? 1 : 0;
        who.at = update.at;
        who.accusers.clear();
    }
    std::size_t const before = who.accusers.size();
    who.accusers.insert(update.accusers.begin(), update.accusers.end());
    bool const began = who.state != node_state::suspect || newer;
    if (began) {
        who.suspect_until = now + settings_.suspicion_timeout;
        set_state(who, node_state::suspect);
        say(event_code::node_suspected, log_level::info,
            fmt::format("node={}", who.instance.id.str()));
    }
    if (began || who.accusers.size() > before) {
        tell(who);
    }
    // A second witness is wanted soon, and this node may be it.
    if (who.accusers.size() < accusers_needed &&
        !who.accusers.contains(self_.id)) {
        probe_soon_.insert(who.instance.id);
    }
}

void membership::apply_dead(
    member& who, membership_update const& update, instant now) {
    if (update.accusers.size() < accusers_needed) {
        apply_suspect(who, update, now);
        return;
    }
    bool const old = update.at < who.at;
    if (old || (who.state == node_state::dead && update.at == who.at)) {
        return;
    }
    who.at = update.at;
    who.accusers.insert(update.accusers.begin(), update.accusers.end());
    say(event_code::node_declared_dead, log_level::warning,
        fmt::format("node={}", who.instance.id.str()));
    set_state(who, node_state::dead);
    who.dead_since = now;
    tell(who);
}

void membership::apply_leaving(member& who, membership_update const& update) {
    bool const news = update.at > who.at ||
                      (update.at == who.at && who.state == node_state::live);
    if (!news) {
        return;
    }
    who.at = update.at;
    who.accusers.clear();
    say(event_code::node_leaving, log_level::info,
        fmt::format("node={}", who.instance.id.str()));
    set_state(who, node_state::leaving);
    tell(who);
}

void membership::set_state(member& who, node_state state) {
    if (who.state == state) {
        return;
    }
    bool const was_out =
        who.state == node_state::dead || who.state == node_state::leaving;
    bool const is_out =
        state == node_state::dead || state == node_state::leaving;
    // A suspicion by itself changes nothing that others compute.
    change_count_ += was_out || is_out ? 1 : 0;
    who.state = state;
    if (state == node_state::suspect) {
        suspects_.insert(who.instance.id);
    } else {
        suspects_.erase(who.instance.id);
    }
}

membership_update membership::update_of(member const& who) const {
    membership_update result;
    result.kind = kind_of(who.state);
    result.name = who.instance.id.str();
    result.at = who.at;
    if (settings_.source == member_source::gossip) {
        result.of = {who.instance.domain, who.instance.processor_percent};
    }
    for (node_id const& each : who.accusers) {
        if (accused(who) && result.accusers.size() < accusers_told) {
            result.accusers.push_back(each);
        }
    }
    return result;
}

bool membership::accused(member const& who) noexcept {
    return who.state == node_state::suspect || who.state == node_state::dead;
}

void membership::tell(member const& who) {
    updates_.add(update_of(who));
}

void membership::tell_self() {
    update_kind const kind =
        leaving_ ? update_kind::node_leaving : update_kind::node_alive;
    membership_update own{kind, self_.id.str(), at_, {}, {}};
    if (settings_.source == member_source::gossip) {
        own.of = own_words();
    }
    updates_.add(std::move(own));
}

void membership::accuse(node_id const& target, instant now) {
    auto const found = members_.find(target);
    if (found == members_.end() || found->second.state == node_state::dead) {
        return;
    }
    membership_update own = update_of(found->second);
    own.kind = update_kind::node_suspect;
    own.accusers = {self_.id};
    apply_suspect(found->second, own, now);
}

// Only a suspicion that at least two nodes' own probes bear out ends in death.
// A lone accuser's stays until the suspect refutes it, and changes nothing.
void membership::check_suspicions(instant now) {
    std::vector<node_id> const open(suspects_.begin(), suspects_.end());
    for (node_id const& each : open) {
        member& who = members_.at(each);
        if (now < who.suspect_until || who.accusers.size() < accusers_needed) {
            continue;
        }
        membership_update verdict = update_of(who);
        verdict.kind = update_kind::node_dead;
        apply_dead(who, verdict, now);
    }
}

void membership::heard(node_id const& from, incarnation at) {
    rounds_.heard(from);
    probe_soon_.erase(from);
    auto const found = members_.find(from);
    if (found != members_.end()) {
        apply_alive(
            found->second, {update_kind::node_alive, from.str(), at, {}, {}});
    }
}

} // namespace camphorpoint
