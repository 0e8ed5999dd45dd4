#include "test/support/leased_counters.hpp"

namespace camphorpoint::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t partition = 5;
constexpr milliseconds step_length{20};
/// A node reads the holders again within this time after a change.
constexpr seconds read_interval{2};
/// Nodes send their status at this interval for each ten nodes.
constexpr milliseconds status_interval{100};
/// A status shows that the store has answered within this time.
constexpr milliseconds status_age{1'800};

} // namespace

leased_counters::leased_counters(
    store_loss const& loss, unsigned nodes, double lost_datagrams,
    instant begin, std::uint64_t seed)
    : loss_(loss)
    , lost_datagrams_(lost_datagrams)
    , begin_(begin)
    , now_(begin - times_.settling)
    , random_(seed)
    , nodes_(nodes, node(times_))
    , owner_until_(now_ + times_.lease) {
    for (node& each : nodes_) {
        each.renew_at = now_ + std::chrono::duration_cast<duration>(
                                   times_.renewal * fraction());
    }
    nodes_.front().renew_at = now_;
}

void leased_counters::advance(instant now) {
    while (now_ + step_length <= now) {
        now_ += step_length;
        step();
    }
}

void leased_counters::step() {
    connect_nodes();
    assign();
    send_status();
    for (std::size_t each = 0; each < nodes_.size(); ++each) {
        if (now_ >= nodes_[each].renew_at) {
            renew(each);
        }
        node& at = nodes_[each];
        if (now_ < last_store_answer_ + status_age) {
            at.leases.on_store_answered_other(now_ - status_age);
        }
        if (at.has_store && now_ >= at.read_holder_at) {
            at.read_holder_at = instant::max();
            set_holder(at, owner_);
        }
    }
}

void leased_counters::connect_nodes() {
    std::optional<unsigned> outage;
    if (loss_.nodes > 0 && now_ >= begin_ + loss_.from) {
        auto const number =
            static_cast<unsigned>((now_ - begin_ - loss_.from) / loss_.length);
        if (number < loss_.outages) {
            outage = number;
        }
    }
    if (outage == outage_) {
        return;
    }
    outage_ = outage;
    for (std::size_t each = 0; each < nodes_.size(); ++each) {
        node& at = nodes_[each];
        bool const had_store = at.has_store;
        at.has_store = !outage || (each != owner_ && fraction() >= loss_.nodes);
        if (at.has_store && !had_store) {
            at.read_holder_at = now_ + read_interval;
        }
    }
}

void leased_counters::assign() {
    if (now_ < owner_until_) {
        return;
    }
    std::vector<std::size_t> members;
    for (std::size_t each = 0; each < nodes_.size(); ++each) {
        if (nodes_[each].has_store) {
            members.push_back(each);
        }
    }
    if (members.empty()) {
        return;
    }
    std::size_t const next = members[random_() % members.size()];
    owner_until_ = now_ + times_.lease;
    if (next == owner_) {
        return;
    }
    owner_ = next;
    ++generation_;
    for (std::size_t const each : members) {
        nodes_[each].read_holder_at =
            now_ +
            std::chrono::duration_cast<duration>(read_interval * fraction());
    }
}

void leased_counters::renew(std::size_t index) {
    node& at = nodes_[index];
    at.renew_at = now_ + times_.renewal;
    if (!at.has_store) {
        at.leases.on_renewal_failed(now_);
        return;
    }
    std::vector<std::size_t> held;
    if (index == owner_) {
        held.push_back(partition);
        owner_until_ = now_ + times_.lease;
    }
    auto const gained =
        at.leases.on_renewal_granted(now_, generation_, held, now_);
    if (!gained.empty()) {
        set_holder(at, index);
    }
    if (!at.leases.partitions_without_token().empty() &&
        at.leases.set_token(partition, ++log_position_)) {
        send_claim(index, log_position_);
    }
}

void leased_counters::send_claim(std::size_t holder, std::uint64_t token) {
    for (std::size_t each = 0; each < nodes_.size(); ++each) {
        node& at = nodes_[each];
        if (each != holder && fraction() >= lost_datagrams_) {
            at.leases.on_higher_token(partition, token);
            set_holder(at, holder);
        }
    }
}

void leased_counters::send_status() {
    for (node const& each : nodes_) {
        last_store_answer_ = each.has_store ? now_ : last_store_answer_;
    }
    if (now_ < status_at_) {
        return;
    }
    status_at_ = now_ + status_interval * (1 + nodes_.size() / 10);
    for (std::size_t each = 0; each < nodes_.size(); ++each) {
        if (auto const token = nodes_[each].leases.token(partition, now_)) {
            send_claim(each, *token);
        }
    }
}

void leased_counters::set_holder(node& at, std::size_t holder) {
    if (at.holder != holder) {
        at.holder = holder;
        at.changes = {now_, at.changes[0]};
    }
}

std::optional<usage_decision> leased_counters::count(
    std::size_t asking, usage_question const& question, usage_cap cap) {
    node& at = nodes_[nodes_[asking].holder];
    auto const since = at.leases.counting_since(partition, now_);
    if (!since) {
        return std::nullopt;
    }
    double const part = at.leases.controls(partition, now_)
                            ? 1
                            : settling_usage_fraction(at.changes[1], now_);
    return at.counter.take(question, cap, *since, part, now_);
}

} // namespace camphorpoint::testing
