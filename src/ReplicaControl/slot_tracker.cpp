#include "ReplicaControl/slot_tracker.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace {

/// Where half of the orders have no answer, one in eight has none after three
/// tries; a report, which is a tenth of a second old, shows what is the matter.
constexpr unsigned tries_of_order = 3;
/// An order is given again this often to see whether it has been carried out:
/// a request that waits for it waits half of this longer.
constexpr duration check_pause = std::chrono::milliseconds(15);
/// Adapters that may be on their way to a replica, by the platform's pages.
constexpr std::size_t most_under_way = 4;
/// Replicas keep copies of about so many adapters in their memory.
constexpr std::size_t most_recent = 150;
/// A base model takes about this long to load; the report tells when.
constexpr duration model_look = std::chrono::milliseconds(250);
/// With nothing to do the account is looked at again after this.
constexpr duration idle_look = std::chrono::seconds(1);

} // namespace

std::size_t slot_tracker::loading_count() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(slots_, [](auto const& each) {
            return each.second.state == slot_state::loading;
        }));
}

void slot_tracker::end_load(slot& of) {
    if (of.timed) {
        limiter_->end();
    }
    of.timed = false;
}

slot_tracker::~slot_tracker() {
    for (auto& [id, each] : slots_) {
        end_load(each);
    }
}

void slot_tracker::set_ready(
    adapter_id const& id, slot& of, std::uint32_t version, instant now) {
    end_load(of);
    of.busy_until = std::max(of.busy_until, now + limits_.cooldown_after_load);
    of.state = slot_state::resident;
    of.version = version;
    std::erase(recent_, id);
    recent_.push_back(id);
    if (recent_.size() > most_recent) {
        recent_.erase(recent_.begin());
    }
    changes_.push_back({{id, version}, true});
    auto const want = wants_.find(id);
    if (want != wants_.end() && want->second.version <= version) {
        wants_.erase(want);
    }
}

bool slot_tracker::ready(adapter_ref const& adapter) const {
    auto const found = slots_.find(adapter.id);
    return found != slots_.end() &&
           found->second.state == slot_state::resident &&
           found->second.version >= adapter.version;
}

bool slot_tracker::command_pending(adapter_id const& adapter) const {
    auto const found = slots_.find(adapter);
    return found != slots_.end() && found->second.state != slot_state::resident;
}

bool slot_tracker::may_load(adapter_id const& id) const {
    // What the replica keeps a copy of does not use the way from the store.
    return loading_count() < most_under_way &&
           (kept(id) || limiter_->may_begin());
}

std::optional<replica_command>
slot_tracker::load_order(adapter_id const& id, instant now) {
    wanted const& by = wants_.at(id);
    model_id const model(id.str().substr(0, id.str().find('/')));
    bool const replaces = slots_.contains(id);
    if (replaces || slots_.size() < limits_.slots) {
        if (!may_load(id)) {
            return std::nullopt;
        }
        return replica_command{
            replica_command_kind::load_adapter,
            model,
            {id, by.version},
            sequence_};
    }
    bool const dropping = std::ranges::any_of(slots_, [](auto const& each) {
        return each.second.state == slot_state::dropping;
    });
    if (dropping) {
        return std::nullopt;
    }
    auto const least_used = victim(now);
    if (!least_used) {
        return std::nullopt;
    }
    model_id const its_model(
        least_used->str().substr(0, least_used->str().find('/')));
    return replica_command{
        replica_command_kind::unload_adapter,
        its_model,
        {*least_used, 0},
        sequence_};
}

std::optional<replica_command> slot_tracker::next_command(instant now) {
    forget_old_wants(now);
    if (!known_ || must_report_ || busy_) {
        return std::nullopt;
    }
    if (unanswered_) {
        return unanswered_;
    }
    if (models_.empty()) {
        if (model_loading_ || wanted_model_.empty()) {
            return std::nullopt;
        }
        return replica_command{
            replica_command_kind::load_model, wanted_model_, {}, sequence_};
    }
    if (auto check = check_order(now)) {
        return check;
    }
    auto const wanted_now = first_want(now);
    if (!wanted_now) {
        return std::nullopt;
    }
    auto order = load_order(*wanted_now, now);
    if (order && order->kind == replica_command_kind::unload_adapter) {
        // Told before the order leaves, so that no request goes there any more.
        slot& going = slots_.at(order->adapter.id);
        going.check_at = {};
        going.state = slot_state::dropping;
        going.since = now;
        changes_.push_back({{order->adapter.id, going.version}, false});
    }
    return order;
}

std::optional<replica_command> slot_tracker::check_order(instant now) const {
    for (auto const& [id, each] : slots_) {
        if (each.state == slot_state::resident || now < each.check_at) {
            continue;
        }
        bool const load = each.state == slot_state::loading;
        model_id const model(id.str().substr(0, id.str().find('/')));
        return replica_command{
            load ? replica_command_kind::load_adapter
                 : replica_command_kind::unload_adapter,
            model,
            {id, load ? each.version : 0},
            sequence_};
    }
    return std::nullopt;
}

void slot_tracker::ordered_again(
    replica_command const& order, command_result answer, instant now) {
    slot& of = slots_.at(order.adapter.id);
    of.check_at = now + check_pause;
    if (answer != command_result::already_done) {
        return;
    }
    if (order.kind == replica_command_kind::unload_adapter) {
        slots_.erase(order.adapter.id);
        return;
    }
    if (of.timed) {
        end_load(of);
        limiter_->record_load(now - of.since);
    } else if (kept(order.adapter.id)) {
        limiter_->record_cached_load(now - of.since);
    }
    set_ready(order.adapter.id, of, of.version, now);
}

void slot_tracker::began(replica_command const& order, bool done, instant now) {
    adapter_id const& id = order.adapter.id;
    bool const load = order.kind != replica_command_kind::unload_adapter;
    // A load of what lies there already is not counted by the replica.
    if (!done || !load) {
        sequence_ = order.expected_count + 1;
        last_counted_ = now;
    }
    if (order.kind == replica_command_kind::load_model) {
        model_loading_ = true;
        model_ordered_ = now;
        report_after_ = now + model_look;
        return;
    }
    if (order.kind == replica_command_kind::unload_adapter) {
        slots_.at(id).shown_from = sequence_;
        slots_.at(id).check_at = now + check_pause;
        if (done) {
            slots_.erase(id);
        }
        return;
    }
    bool const replaces = slots_.contains(id);
    slot& of = slots_[id];
    if (replaces && !done) {
        changes_.push_back({{id, of.version}, false});
    }
    of.version = order.adapter.version;
    of.state = slot_state::loading;
    of.since = now;
    of.last_used = now;
    of.shown_from = sequence_;
    bool const copied = kept(id);
    // A replacement waits for its runs, so its time tells nothing of the store.
    end_load(of);
    of.timed = !replaces && !copied && !done;
    if (of.timed) {
        limiter_->begin();
    }
    of.check_at = now + (copied ? limiter_->cached_duration() -
                                      limiter_->cached_duration() / 10
                                : limiter_->first_check_delay());
    if (done) {
        set_ready(id, of, order.adapter.version, now);
    }
}

void slot_tracker::lost(replica_command const& order, instant now) {
    auto const found = slots_.find(order.adapter.id);
    bool const again = found != slots_.end() &&
                       found->second.state != slot_state::resident &&
                       found->second.check_at != instant{};
    if (again) {
        found->second.check_at = now + check_pause;
        return;
    }
    ++times_unanswered_;
    if (times_unanswered_ < tries_of_order) {
        unanswered_ = order;
        return;
    }
    unanswered_.reset();
    times_unanswered_ = 0;
    must_report_ = true;
    report_after_ = now + report_retry;
}

void slot_tracker::on_result(
    replica_command const& order, command_result answer, instant now) {
    auto const found = slots_.find(order.adapter.id);
    bool const done = answer == command_result::already_done;
    if (answer == command_result::no_answer) {
        lost(order, now);
        return;
    }
    unanswered_.reset();
    times_unanswered_ = 0;
    // An order that was accepted is given again to see whether it has been
    // carried out; the replica does not count it a second time.
    bool const again = found != slots_.end() &&
                       found->second.state != slot_state::resident &&
                       found->second.check_at != instant{};
    if (done || answer == command_result::accepted) {
        if (again) {
            ordered_again(order, answer, now);
        } else {
            began(order, done, now);
        }
        return;
    }
    if (again) {
        found->second.check_at = now + check_pause;
    } else if (
        found != slots_.end() &&
        order.kind == replica_command_kind::unload_adapter) {
        found->second.state = slot_state::resident;
        changes_.push_back({{order.adapter.id, found->second.version}, true});
    }
    must_report_ = answer != command_result::not_sent;
    report_after_ = now;
    if (answer == command_result::rejected) {
        wants_.erase(order.adapter.id);
    }
}

std::vector<residency_change> slot_tracker::drain_changes() {
    return std::exchange(changes_, {});
}

instant slot_tracker::next_check_at(instant now) const {
    instant look = now + idle_look;
    if (!known_ || must_report_ || busy_ || model_loading_) {
        look = std::max(report_after_, now);
    }
    for (auto const& [id, each] : slots_) {
        if (each.state != slot_state::resident) {
            look = std::min(look, each.check_at);
        }
    }
    if (!wants_.empty()) {
        look = std::min(look, now + check_pause);
    }
    return std::max(look, now);
}

} // namespace camphorpoint
