#include "Holding/slot_account.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace {

/// A want that nobody has repeated for so long is dropped: those who waited
/// have gone elsewhere. Nodes repeat theirs about every 300 ms.
constexpr duration want_lasts = std::chrono::milliseconds(1'200);
/// A report shows the state of some hundred milliseconds ago.
constexpr duration report_pause = std::chrono::milliseconds(60);
/// After a report that could not be read.
constexpr duration report_retry = std::chrono::milliseconds(250);
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
    return std::ranges::any_of(slots_, [&](auto const& each) {
        slot const& of = each.second;
        return (of.state == slot_state::loading &&
                now >= of.since + limits_.load_time) ||
               of.state == slot_state::dropping;
    });
}

void slot_account::report_failed(instant now) {
    report_after_ = now + report_retry;
}

void slot_account::set_ready(
    adapter_id const& id, slot& of, std::uint32_t version) {
    of.state = slot_state::resident;
    of.version = version;
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
        set_ready(each.id, of, each.version);
        return;
    }
    bool const has_come =
        of.state == slot_state::loading && each.version >= of.version;
    if (has_come || of.state == slot_state::resident) {
        if (has_come || of.version != each.version) {
            set_ready(each.id, of, each.version);
        }
    }
}

void slot_account::reported(replica_report const& report, instant now) {
    report_after_ = now + report_pause;
    if (known_ && report.sequence < sequence_) {
        // Older than the newest accepted order: it can't show its effect.
        return;
    }
    if (must_report_ || !known_ || report.sequence > sequence_) {
        sequence_ = report.sequence;
    }
    known_ = true;
    must_report_ = false;
    busy_ = report.busy;
    models_ = report.models;
    model_loading_ = model_loading_ && models_.empty() &&
                     now < model_ordered_ + load_given_up;
    for (adapter_ref const& each : report.pending) {
        auto const [place, fresh] = slots_.try_emplace(each.id);
        if (fresh) {
            place->second = {
                each.version, slot_state::loading, now, now, sequence_};
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
    std::erase_if(slots_, [&](auto const& each) {
        slot const& of = each.second;
        if (report.sequence < of.shown_from || shown(each.first)) {
            return false;
        }
        if (of.state == slot_state::loading &&
            now < of.since + limits_.load_time) {
            return false;
        }
        if (of.state != slot_state::dropping) {
            changes_.push_back({{each.first, of.version}, false});
        }
        return true;
    });
}

void slot_account::want(adapter_ref const& adapter, bool urgent, instant now) {
    if (ready(adapter)) {
        return;
    }
    auto const [place, fresh] = wants_.try_emplace(adapter.id);
    wanted& of = place->second;
    if (fresh) {
        of.first = now;
    }
    of.version = std::max(of.version, adapter.version);
    of.last = now;
    of.urgent = of.urgent || urgent;
}

void slot_account::used(adapter_id const& adapter, instant now) {
    auto const found = slots_.find(adapter);
    if (found != slots_.end()) {
        found->second.last_used = now;
    }
}

bool slot_account::ready(adapter_ref const& adapter) const {
    auto const found = slots_.find(adapter.id);
    return found != slots_.end() &&
           found->second.state == slot_state::resident &&
           found->second.version >= adapter.version;
}

void slot_account::forget_old_wants(instant now) {
    std::erase_if(wants_, [&](auto const& each) {
        return now >= each.second.last + want_lasts;
    });
}

std::optional<adapter_id> slot_account::first_want() const {
    std::optional<adapter_id> best;
    wanted const* best_want = nullptr;
    for (auto const& [id, each] : wants_) {
        auto const slot_of = slots_.find(id);
        bool const under_way = slot_of != slots_.end() &&
                               slot_of->second.state != slot_state::resident;
        if (under_way) {
            continue;
        }
        bool const better = best_want == nullptr ||
                            std::pair(!each.urgent, each.first) <
                                std::pair(!best_want->urgent, best_want->first);
        if (better) {
            best = id;
            best_want = &each;
        }
    }
    return best;
}

std::optional<adapter_id>
slot_account::victim(wanted const& by, instant now) const {
    std::optional<adapter_id> best;
    slot const* best_slot = nullptr;
    for (auto const& [id, each] : slots_) {
        if (each.state != slot_state::resident || wants_.contains(id)) {
            continue;
        }
        bool const resting = now >= each.last_used + limits_.rest_before_drop;
        if (!resting && !by.urgent) {
            continue;
        }
        bool const better =
            best_slot == nullptr || each.last_used < best_slot->last_used;
        if (better) {
            best = id;
            best_slot = &each;
        }
    }
    return best;
}

std::optional<slot_order>
slot_account::load_order(adapter_id const& id, instant now) {
    wanted const& by = wants_.at(id);
    model_id const model(id.str().substr(0, id.str().find('/')));
    bool const replaces = slots_.contains(id);
    if (replaces || slots_.size() < limits_.slots) {
        if (loading() >= limits_.loads_at_once) {
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
    auto const least_used = victim(by, now);
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
    if (models_.empty()) {
        if (model_loading_ || wanted_model_.empty()) {
            return std::nullopt;
        }
        return slot_order{
            slot_order_kind::load_model, wanted_model_, {}, sequence_};
    }
    auto const wanted_now = first_want();
    if (!wanted_now) {
        return std::nullopt;
    }
    auto order = load_order(*wanted_now, now);
    if (order && order->kind == slot_order_kind::unload_adapter) {
        // Told before the order leaves, so that no request goes there any more.
        slot& going = slots_.at(order->adapter.id);
        going.state = slot_state::dropping;
        going.since = now;
        changes_.push_back({{order->adapter.id, going.version}, false});
    }
    return order;
}

void slot_account::answered(
    slot_order const& order, slot_answer answer, instant now) {
    bool const accepted = answer == slot_answer::accepted;
    bool const done = accepted || answer == slot_answer::holds;
    if (!done) {
        bool const unload = order.kind == slot_order_kind::unload_adapter;
        auto const found = slots_.find(order.adapter.id);
        if (unload && found != slots_.end() && answer != slot_answer::lost) {
            found->second.state = slot_state::resident;
            changes_.push_back(
                {{order.adapter.id, found->second.version}, true});
        }
        must_report_ = answer != slot_answer::unsent;
        report_after_ = answer == slot_answer::lost ? now + report_retry : now;
        if (answer == slot_answer::rejected) {
            wants_.erase(order.adapter.id);
        }
        return;
    }
    sequence_ = order.expect + 1;
    switch (order.kind) {
    case slot_order_kind::load_model:
        model_loading_ = true;
        model_ordered_ = now;
        report_after_ = now + model_look;
        break;
    case slot_order_kind::load_adapter: {
        bool const replaces = slots_.contains(order.adapter.id);
        slot& of = slots_[order.adapter.id];
        if (replaces && accepted) {
            changes_.push_back({{order.adapter.id, of.version}, false});
        }
        of = {order.adapter.version, slot_state::loading, now, now, sequence_};
        if (answer == slot_answer::holds) {
            set_ready(order.adapter.id, of, order.adapter.version);
        }
        break;
    }
    case slot_order_kind::unload_adapter:
        if (answer == slot_answer::holds) {
            slots_.erase(order.adapter.id);
        } else {
            slots_[order.adapter.id].shown_from = sequence_;
        }
        break;
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
        if (each.state == slot_state::loading) {
            look = std::min(
                look, std::max(report_after_, each.since + limits_.load_time));
        }
        if (each.state == slot_state::dropping) {
            look = std::min(look, report_after_);
        }
    }
    if (!wants_.empty()) {
        look = std::min(look, now + report_pause);
    }
    return std::max(look, now);
}

} // namespace camphorpoint
