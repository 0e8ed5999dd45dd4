#include "Holding/slot_account.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorpoint {

namespace {

/// A want that nobody has repeated for so long is dropped: those who waited
/// have gone elsewhere. Nodes repeat theirs about every 300 ms.
constexpr duration want_lasts = std::chrono::milliseconds(1'200);
/// A report shows the state of some hundred milliseconds ago.
constexpr duration report_pause = std::chrono::milliseconds(60);
/// No report is older than this.
constexpr duration report_age = std::chrono::milliseconds(600);
/// After a report that could not be read.
constexpr duration report_retry = std::chrono::milliseconds(250);
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
/// A load that a report does not show for so long has been lost, as when the
/// order came late and was refused.
constexpr duration load_given_up = std::chrono::seconds(5);
/// With nothing to do the account is looked at again after this.
constexpr duration idle_look = std::chrono::seconds(1);

} // namespace

std::size_t slot_account::loading() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(slots_, [](auto const& each) {
            return each.second.state == slot_state::loading;
        }));
}

bool slot_account::report_due(instant now) const {
    if (now < report_after_) {
        return false;
    }
    if (!known_ || must_report_ || busy_ || model_loading_) {
        return true;
    }
    return false;
}

void slot_account::report_failed(instant now) {
    report_after_ = now + report_retry;
}

void slot_account::end_load(slot& of) {
    if (of.timed) {
        pace_->end();
    }
    of.timed = false;
}

slot_account::~slot_account() {
    for (auto& [id, each] : slots_) {
        end_load(each);
    }
}

void slot_account::set_ready(
    adapter_id const& id, slot& of, std::uint32_t version, instant now) {
    end_load(of);
    of.busy_until = std::max(of.busy_until, now + limits_.rest_after_load);
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

void slot_account::take_resident(adapter_ref const& each, instant now) {
    auto const [place, fresh] = slots_.try_emplace(each.id);
    slot& of = place->second;
    if (fresh) {
        of.since = now;
        of.last_used = now;
        of.shown_from = sequence_;
        // Whoever uses it repeats so before this has passed.
        of.busy_until = now + limits_.use_lasts;
        set_ready(each.id, of, each.version, now);
        return;
    }
    bool const has_come =
        of.state == slot_state::loading && each.version >= of.version;
    if (has_come || of.state == slot_state::resident) {
        if (has_come || of.version != each.version) {
            set_ready(each.id, of, each.version, now);
        }
    }
}

void slot_account::reported(replica_report const& report, instant now) {
    report_after_ = now + report_pause;
    if (known_ && report.sequence < sequence_ &&
        now < last_counted_ + report_age) {
        // Older than the newest accepted order: it can't show its effect.
        return;
    }
    sequence_ = report.sequence;
    known_ = true;
    must_report_ = false;
    unanswered_.reset();
    busy_ = report.busy;
    models_ = report.models;
    model_loading_ = model_loading_ && models_.empty() &&
                     now < model_ordered_ + load_given_up;
    for (adapter_ref const& each : report.pending) {
        auto const [place, fresh] = slots_.try_emplace(each.id);
        if (fresh) {
            place->second.version = each.version;
            place->second.state = slot_state::loading;
            place->second.since = now;
            place->second.last_used = now;
            place->second.check_at = now;
            place->second.shown_from = sequence_;
        }
    }
    for (adapter_ref const& each : report.adapters) {
        take_resident(each, now);
    }
    auto const shown = [&](adapter_id const& id) {
        auto const same = [&](adapter_ref const& each) {
            return each.id == id;
        };
        return std::ranges::any_of(report.adapters, same) ||
               std::ranges::any_of(report.pending, same);
    };
    for (auto each = slots_.begin(); each != slots_.end();) {
        slot& of = each->second;
        bool const too_young = of.state == slot_state::loading &&
                               now < of.since + pace_->expected();
        if (report.sequence < of.shown_from || shown(each->first) ||
            too_young) {
            ++each;
            continue;
        }
        if (of.state != slot_state::dropping) {
            changes_.push_back({{each->first, of.version}, false});
        }
        end_load(of);
        each = slots_.erase(each);
    }
}

void slot_account::want(
    adapter_ref const& adapter, want_kind kind, instant now) {
    if (ready(adapter)) {
        return;
    }
    auto const [place, added] = wants_.try_emplace(adapter.id);
    wanted& of = place->second;
    if (added) {
        of.first = now;
        of.kept = kept(adapter.id);
    }
    of.version = std::max(of.version, adapter.version);
    of.last = now;
    of.kind = std::min(of.kind, kind);
}

bool slot_account::has_room_for(adapter_id const& adapter, instant now) const {
    if (!known_ || slots_.contains(adapter) || wants_.contains(adapter) ||
        slots_.size() < limits_.slots) {
        return true;
    }
    return free_slots(now) > wants_.size();
}

unsigned slot_account::free_slots(instant now) const {
    auto const used_slots = std::ranges::count_if(slots_, [&](auto const& at) {
        slot const& of = at.second;
        bool const goes = of.state == slot_state::dropping;
        bool const rests = of.state == slot_state::resident &&
                           resting(of, now) && !wants_.contains(at.first);
        return !goes && !rests;
    });
    return limits_.slots -
           std::min(limits_.slots, static_cast<unsigned>(used_slots));
}

int slot_account::spare_slots(instant now) const {
    auto const waiting = std::ranges::count_if(wants_, [&](auto const& each) {
        return each.second.kind != want_kind::ahead && !under_way(each.first);
    });
    return static_cast<int>(free_slots(now)) - static_cast<int>(waiting);
}

bool slot_account::kept(adapter_id const& id) const {
    return std::ranges::find(recent_, id) != recent_.end();
}

duration slot_account::load_time(adapter_id const& id) const {
    return kept(id) ? pace_->kept() : pace_->usual();
}

duration slot_account::expected_wait(
    adapter_ref const& adapter, want_kind kind, instant now) const {
    if (ready(adapter)) {
        return duration::zero();
    }
    duration const load = load_time(adapter.id);
    auto const own = slots_.find(adapter.id);
    if (own != slots_.end() && own->second.state == slot_state::loading) {
        return std::max(own->second.since + load - now, duration::zero());
    }
    slot_outlook by;
    by.free = free_slots(now);
    by.release_pause = releases_.pause(now);
    by.load = load;
    by.at_once = pace_->at_once();
    wanted asked;
    asked.kind = kind;
    asked.kept = kept(adapter.id);
    asked.first = instant::max();
    // Who asks for what others wait for already shares their place.
    auto const queued = wants_.find(adapter.id);
    if (queued != wants_.end()) {
        asked.kind = std::min(kind, queued->second.kind);
        asked.first = queued->second.first;
    }
    for (auto const& [id, each] : wants_) {
        auto const slot_of = slots_.find(id);
        bool const loads = slot_of != slots_.end() &&
                           slot_of->second.state == slot_state::loading;
        if (id == adapter.id || loads || !goes_before(each, asked)) {
            continue;
        }
        ++by.ahead;
        by.loads_ahead += load_time(id);
    }
    return expected_ready(by);
}

std::optional<duration> slot_account::turn_away(
    adapter_ref const& adapter, want_kind kind, duration patience,
    instant now) const {
    duration const wait = expected_wait(adapter, kind, now);
    // Guards against forecasts that forbid what would correct them: where loads
    // are believed to take too long, none would be ordered, and none would show
    // that they do not. Where they really do, no adapter would ever come. With
    // a slot and the way free it is nowhere ready sooner.
    bool const at_once = spare_slots(now) > 0 && pace_->may_begin();
    bool const taken = kind == want_kind::ahead ? has_room_for(adapter.id, now)
                                                : at_once || wait <= patience;
    return taken ? std::nullopt : std::optional(wait);
}

void slot_account::used(adapter_id const& adapter, bool running, instant now) {
    auto const found = slots_.find(adapter);
    if (found == slots_.end()) {
        return;
    }
    slot& of = found->second;
    of.last_used = now;
    of.busy_until =
        now + (running ? limits_.use_lasts : limits_.rest_after_use);
    if (!running) {
        releases_.note(now);
    }
}

bool slot_account::ready(adapter_ref const& adapter) const {
    auto const found = slots_.find(adapter.id);
    return found != slots_.end() &&
           found->second.state == slot_state::resident &&
           found->second.version >= adapter.version;
}

bool slot_account::under_way(adapter_id const& adapter) const {
    auto const found = slots_.find(adapter);
    return found != slots_.end() && found->second.state != slot_state::resident;
}

void slot_account::forget_old_wants(instant now) {
    std::erase_if(wants_, [&](auto const& each) {
        return now >= each.second.last + want_lasts;
    });
}

bool slot_account::resting(slot const& of, instant now) {
    return now >= of.busy_until;
}

bool slot_account::goes_before(wanted const& left, wanted const& right) {
    // A kept copy comes in a tenth of the time and holds up nobody.
    return std::tuple(left.kind, !left.kept, left.first) <
           std::tuple(right.kind, !right.kept, right.first);
}

std::optional<adapter_id> slot_account::first_want(instant now) const {
    std::optional<adapter_id> best;
    wanted const* best_want = nullptr;
    for (auto const& [id, each] : wants_) {
        auto const slot_of = slots_.find(id);
        // A replacement waits for the adapter's runs, and the replica takes no
        // other order meanwhile: one that is in use stays as it is, and the
        // new version comes to another replica.
        bool const in_the_way =
            slot_of != slots_.end() &&
            (slot_of->second.state != slot_state::resident ||
             !resting(slot_of->second, now));
        if (in_the_way) {
            continue;
        }
        if (best_want == nullptr || goes_before(each, *best_want)) {
            best = id;
            best_want = &each;
        }
    }
    return best;
}

std::optional<adapter_id> slot_account::victim(instant now) const {
    std::optional<adapter_id> best;
    slot const* best_slot = nullptr;
    for (auto const& [id, each] : slots_) {
        // As with replacements: what is in use would hold up every order.
        if (each.state != slot_state::resident || wants_.contains(id) ||
            !resting(each, now)) {
            continue;
        }
        if (best_slot == nullptr || each.last_used < best_slot->last_used) {
            best = id;
            best_slot = &each;
        }
    }
    return best;
}

bool slot_account::may_load(adapter_id const& id) const {
    // What the replica keeps a copy of does not use the way from the store.
    return loading() < most_under_way && (kept(id) || pace_->may_begin());
}

std::optional<slot_order>
slot_account::load_order(adapter_id const& id, instant now) {
    wanted const& by = wants_.at(id);
    model_id const model(id.str().substr(0, id.str().find('/')));
    bool const replaces = slots_.contains(id);
    if (replaces || slots_.size() < limits_.slots) {
        if (!may_load(id)) {
            return std::nullopt;
        }
        return slot_order{
            slot_order_kind::load_adapter, model, {id, by.version}, sequence_};
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
    return slot_order{
        slot_order_kind::unload_adapter,
        its_model,
        {*least_used, 0},
        sequence_};
}

std::optional<slot_order> slot_account::next(instant now) {
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
        return slot_order{
            slot_order_kind::load_model, wanted_model_, {}, sequence_};
    }
    if (auto check = check_order(now)) {
        return check;
    }
    auto const wanted_now = first_want(now);
    if (!wanted_now) {
        return std::nullopt;
    }
    auto order = load_order(*wanted_now, now);
    if (order && order->kind == slot_order_kind::unload_adapter) {
        // Told before the order leaves, so that no request goes there any more.
        slot& going = slots_.at(order->adapter.id);
        going.check_at = {};
        going.state = slot_state::dropping;
        going.since = now;
        changes_.push_back({{order->adapter.id, going.version}, false});
    }
    return order;
}

std::optional<slot_order> slot_account::check_order(instant now) const {
    for (auto const& [id, each] : slots_) {
        if (each.state == slot_state::resident || now < each.check_at) {
            continue;
        }
        bool const load = each.state == slot_state::loading;
        model_id const model(id.str().substr(0, id.str().find('/')));
        return slot_order{
            load ? slot_order_kind::load_adapter
                 : slot_order_kind::unload_adapter,
            model,
            {id, load ? each.version : 0},
            sequence_};
    }
    return std::nullopt;
}

void slot_account::ordered_again(
    slot_order const& order, slot_answer answer, instant now) {
    slot& of = slots_.at(order.adapter.id);
    of.check_at = now + check_pause;
    if (answer != slot_answer::holds) {
        return;
    }
    if (order.kind == slot_order_kind::unload_adapter) {
        slots_.erase(order.adapter.id);
        return;
    }
    if (of.timed) {
        end_load(of);
        pace_->note(now - of.since);
    } else if (kept(order.adapter.id)) {
        pace_->note_kept(now - of.since);
    }
    set_ready(order.adapter.id, of, of.version, now);
}

void slot_account::began(slot_order const& order, bool done, instant now) {
    adapter_id const& id = order.adapter.id;
    bool const load = order.kind != slot_order_kind::unload_adapter;
    // A load of what lies there already is not counted by the replica.
    if (!done || !load) {
        sequence_ = order.expect + 1;
        last_counted_ = now;
    }
    if (order.kind == slot_order_kind::load_model) {
        model_loading_ = true;
        model_ordered_ = now;
        report_after_ = now + model_look;
        return;
    }
    if (order.kind == slot_order_kind::unload_adapter) {
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
        pace_->begin();
    }
    of.check_at =
        now + (copied ? pace_->kept() - pace_->kept() / 10 : pace_->expected());
    if (done) {
        set_ready(id, of, order.adapter.version, now);
    }
}

void slot_account::lost(slot_order const& order, instant now) {
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

void slot_account::answered(
    slot_order const& order, slot_answer answer, instant now) {
    auto const found = slots_.find(order.adapter.id);
    bool const done = answer == slot_answer::holds;
    if (answer == slot_answer::lost) {
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
    if (done || answer == slot_answer::accepted) {
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
        order.kind == slot_order_kind::unload_adapter) {
        found->second.state = slot_state::resident;
        changes_.push_back({{order.adapter.id, found->second.version}, true});
    }
    must_report_ = answer != slot_answer::unsent;
    report_after_ = now;
    if (answer == slot_answer::rejected) {
        wants_.erase(order.adapter.id);
    }
}

std::vector<slot_change> slot_account::take_changes() {
    return std::exchange(changes_, {});
}

instant slot_account::next_look(instant now) const {
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
