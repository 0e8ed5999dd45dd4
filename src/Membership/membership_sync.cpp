// How nodes that no list names come to know each other.
// Reference: A. Demers et al., "Epidemic algorithms for replicated database
// maintenance", PODC 1987: what rumours miss, a comparison of whole states
// mends.
#include "Core/hash.hpp"
#include "Membership/membership.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorpoint {

namespace {

/// What a peer has said of how many it knows counts for so long.
constexpr duration told_counts = std::chrono::seconds(10);
/// A name with its domain and incarnation takes about so many bytes.
constexpr std::size_t bytes_of_name = 64;
/// Of a page, beside its names.
constexpr std::size_t page_room = 124;

} // namespace

membership::member&
membership::meet(node_id const& id, node_attributes const& of) {
    auto const [place, added] = members_.try_emplace(id);
    member& who = place->second;
    if (added) {
        who.instance.id = id;
        who.instance.peer_address = id.str();
        order_.insert(std::ranges::lower_bound(order_, id), id);
        ++change_count_;
    }
    if (!of.domain.empty()) {
        bool const changed =
            who.instance.processor_percent != of.processor_percent;
        change_count_ += changed ? 1 : 0;
        who.instance.domain = of.domain;
        who.instance.processor_percent = of.processor_percent;
    }
    return who;
}

node_attributes membership::own_words() const {
    return {self_.domain, self_.processor_percent};
}

void membership::add_known_node(node_id const& node, instant /*now*/) {
    bool const news = settings_.source == member_source::gossip &&
                      node != self_.id && !members_.contains(node);
    if (news) {
        meet(node, {});
        greet_.push_back(node);
    }
}

void membership::on_quota_units_assigned(
    std::vector<std::size_t> const& own, std::vector<node_id> holders,
    instant now) {
    shares_.dealt(own, std::move(holders), now);
}

void membership::ask_for_share(instant now) {
    if (auto const due = shares_.ask(now)) {
        actions_.emplace_back(send_probe{
            due->to, peer_address(due->to),
            quota_loan_request{self_.id, at_, due->number}});
    }
}

void membership::on_message(quota_loan_request const& message, instant now) {
    heard(message.from, message.at);
    quota_loan_reply const answer{
        self_.id, at_, message.number, shares_.on_ask(message.from, now)};
    actions_.emplace_back(send_probe{message.from, message.from.str(), answer});
}

void membership::on_message(quota_loan_reply const& message, instant now) {
    heard(message.from, message.at);
    shares_.on_given(message.from, message.number, message.amount, now);
}

// Whom the platform names hears of this node directly: where all nodes begin at
// once, by probes alone it would take ten seconds until all know all.
void membership::send_greetings() {
    std::size_t const count =
        std::min(greet_.size(), settings_.announcements_per_tick);
    for (std::size_t index = 0; index < count; ++index) {
        send_to_member(greet_[index], probe(), 0);
    }
    greet_.erase(
        greet_.begin(), greet_.begin() + static_cast<std::ptrdiff_t>(count));
}

void membership::met(
    node_id const& from, incarnation at, node_attributes const& of) {
    if (settings_.source == member_source::gossip) {
        meet(from, of);
    }
    heard(from, at);
}

// Guards against a node whose clock was set back before it started again: all
// others would take its word for that of its former run, hold it for dead, and
// tell it nothing more.
void membership::outlive(incarnation former) {
    at_ = {former.start_time_ms + 1, 0};
    say(event_code::suspicion_refuted, log_level::warning, "former_run=true");
    tell_self();
}

member_digest membership::digest() const {
    // Each datagram carries it, and at 1,900 nodes it takes 60 us to add up.
    if (digest_of_ == change_count_) {
        return digest_;
    }
    member_digest result{1, hash_text(self_.id.str(), 0)};
    for (auto const& [id, who] : members_) {
        bool const there =
            who.state != node_state::dead && who.state != node_state::leaving;
        if (there) {
            ++result.count;
            result.names += hash_text(id.str(), 0);
        }
    }
    digest_ = result;
    digest_of_ = change_count_;
    return result;
}

std::chrono::milliseconds membership::ask_pause(member_digest theirs) const {
    std::size_t const own = members_.size() + 1;
    bool const lacks_many = theirs.count > own + own / 8;
    if (lacks_many || times_asked_ < settings_.initial_syncs) {
        return settings_.initial_sync_interval;
    }
    std::chrono::milliseconds const at_bytes(
        own * bytes_of_name * 1'000 / settings_.sync_bytes_per_s);
    return std::max(settings_.min_sync_interval, at_bytes);
}

void membership::compare(
    node_id const& with, member_digest theirs, instant now) {
    if (settings_.source != member_source::gossip || theirs.count == 0) {
        return;
    }
    if (theirs.count >= most_told_ || now >= most_told_at_ + told_counts) {
        most_told_ = theirs.count;
        most_told_at_ = now;
    }
    bool const due = !asked_ || now >= *asked_ + ask_pause(theirs);
    if (due && theirs != digest()) {
        ++times_asked_;
        ask_names(with, {}, now);
    }
}

void membership::ask_names(
    node_id const& of, node_id const& after, instant now) {
    asked_ = now;
    asked_after_ = after;
    actions_.emplace_back(send_probe{
        of, peer_address(of),
        member_list_request{self_.id, at_, own_words(), after}});
}

void membership::on_message(
    member_list_request const& message, instant /*now*/) {
    if (settings_.source != member_source::gossip) {
        return;
    }
    met(message.from, message.at, message.self);
    member_list_page page{self_.id, at_, own_words(), false, {}};
    std::size_t room = max_datagram_bytes - page_room - self_.id.str().size() -
                       self_.domain.str().size();
    for (auto each = members_.upper_bound(message.after);
         each != members_.end(); ++each) {
        if (each->second.state != node_state::live) {
            continue;
        }
        membership_update told = update_of(each->second);
        std::size_t const size = encoded_size(told);
        if (size > room) {
            page.more = true;
            break;
        }
        room -= size;
        page.updates.push_back(std::move(told));
    }
    actions_.emplace_back(
        send_probe{message.from, message.from.str(), std::move(page)});
}

void membership::on_message(member_list_page const& message, instant now) {
    if (settings_.source != member_source::gossip) {
        return;
    }
    met(message.from, message.at, message.self);
    for (membership_update const& each : message.updates) {
        node_id const id(each.name);
        // No news to the others: whoever has asked for names is the one that
        // lacks them.
        if (id != self_.id) {
            meet(id, each.of);
        }
        apply(each, now);
    }
    asked_after_.reset();
    if (message.more && !message.updates.empty()) {
        ask_names(message.from, node_id(message.updates.back().name), now);
    }
}

// Guards against names that a lost datagram cuts short: hundreds of them come
// in a row of ten pages or more, of which one is lost in most rows on a link
// that loses one in ten.
void membership::ask_again(instant now) {
    bool const silent = asked_after_ && now >= *asked_ + settings_.ack_timeout;
    if (!silent) {
        return;
    }
    for (node_id const& each : pick_random(1, false)) {
        ask_names(each, node_id(*asked_after_), now);
    }
}

void membership::forget_dead(instant now) {
    bool const due = settings_.source == member_source::gossip &&
                     now >= dead_looked_at_ + settings_.probe_period;
    if (!due) {
        return;
    }
    dead_looked_at_ = now;
    std::size_t const before = members_.size();
    std::erase_if(members_, [&](auto const& each) {
        member const& who = each.second;
        return who.state == node_state::dead &&
               now >= who.dead_since + settings_.dead_member_retention;
    });
    if (members_.size() != before) {
        std::erase_if(order_, [this](node_id const& each) {
            return !members_.contains(each);
        });
        ++change_count_;
    }
}

bool membership::goes_before(
    node_instance const& left, node_instance const& right) {
    // By hash, so that those that go first lie in all failure domains, whatever
    // the addresses look like.
    return std::tuple(
               right.processor_percent, hash_text(left.id.str(), 0), left.id) <
           std::tuple(
               left.processor_percent, hash_text(right.id.str(), 0), right.id);
}

std::size_t membership::capacity_rank() const {
    if (rank_of_ == change_count_) {
        return rank_;
    }
    rank_ = static_cast<std::size_t>(
        std::ranges::count_if(members_, [this](auto const& each) {
            member const& who = each.second;
            bool const there = who.state != node_state::dead &&
                               who.state != node_state::leaving;
            return there && goes_before(who.instance, self_);
        }));
    rank_of_ = change_count_;
    return rank_;
}

double membership::quota_share(instant now) const {
    if (settings_.quota_unit_count > 0) {
        return shares_.own(now);
    }
    std::size_t const told = now < most_told_at_ + told_counts ? most_told_ : 0;
    return 1.0 / static_cast<double>(std::max(members_.size() + 1, told));
}

} // namespace camphorpoint
