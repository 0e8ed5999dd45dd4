#include "ReplicaControl/slot_tracker.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace {

/// Attempts before the tracker waits for a report instead. When half of the
/// commands get no answer, one in eight still has none after three attempts; a
/// report, which is a tenth of a second old, then shows the state.
constexpr unsigned max_command_attempts = 3;
/// Interval at which a command is repeated to learn whether it has been carried
/// out. A waiting request waits half of this longer on average.
constexpr duration check_interval = std::chrono::milliseconds(15);
/// Maximum number of adapters that the platform allows to be loading on one
/// replica.
constexpr std::size_t max_concurrent_loads = 4;
/// Approximate number of adapters that a replica keeps cached in memory.
constexpr std::size_t max_cached_adapters = 150;
/// A base model takes about this long to load; the report shows when it has
/// finished.
constexpr duration model_check_delay = std::chrono::milliseconds(250);
/// Interval of checks while there is nothing to do.
constexpr duration idle_check_interval = std::chrono::seconds(1);

} // namespace

std::size_t slot_tracker::loading_count() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(slots_, [](auto const& each) {
            return each.second.state == slot_state::loading;
        }));
}

void slot_tracker::finish_load(slot& entry) {
    if (entry.from_store) {
        limiter_->on_load_finished();
    }
    entry.from_store = false;
}

slot_tracker::~slot_tracker() {
    for (auto& [id, each] : slots_) {
        finish_load(each);
    }
}

void slot_tracker::set_ready(
    adapter_id const& id, slot& entry, std::uint32_t version, instant now) {
    finish_load(entry);
    entry.busy_until =
        std::max(entry.busy_until, now + limits_.cooldown_after_load);
    entry.state = slot_state::resident;
    entry.version = version;
    std::erase(cached_adapters_, id);
    cached_adapters_.push_back(id);
    if (cached_adapters_.size() > max_cached_adapters) {
        cached_adapters_.erase(cached_adapters_.begin());
    }
    changes_.push_back({{id, version}, true});
    auto const request = requests_.find(id);
    if (request != requests_.end() && request->second.version <= version) {
        requests_.erase(request);
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

bool slot_tracker::load_allowed(adapter_id const& id) const {
    // Cached adapters are not fetched from the store, so the limiter does not
    // apply.
    return loading_count() < max_concurrent_loads &&
           (is_cached(id) || limiter_->can_start());
}

std::optional<replica_command>
slot_tracker::load_or_evict(adapter_id const& id, instant now) {
    pending_request const& request = requests_.at(id);
    model_id const model(id.str().substr(0, id.str().find('/')));
    bool const replaces = slots_.contains(id);
    if (replaces || slots_.size() < limits_.slots) {
        if (!load_allowed(id)) {
            return std::nullopt;
        }
        return replica_command{
            replica_command_kind::load_adapter,
            model,
            {id, request.version},
            sequence_};
    }
    bool const unloading = std::ranges::any_of(slots_, [](auto const& each) {
        return each.second.state == slot_state::unloading;
    });
    if (unloading) {
        return std::nullopt;
    }
    auto const least_used = eviction_candidate(now);
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
    remove_expired_requests(now);
    if (!has_report_ || report_required_ || busy_) {
        return std::nullopt;
    }
    if (unanswered_command_) {
        return unanswered_command_;
    }
    if (models_.empty()) {
        if (model_loading_ || base_model_.empty()) {
            return std::nullopt;
        }
        return replica_command{
            replica_command_kind::load_model, base_model_, {}, sequence_};
    }
    if (auto check = status_check(now)) {
        return check;
    }
    auto const adapter_to_load = next_request(now);
    if (!adapter_to_load) {
        return std::nullopt;
    }
    auto command = load_or_evict(*adapter_to_load, now);
    if (command && command->kind == replica_command_kind::unload_adapter) {
        // The change is recorded before the command is sent, so that no further
        // request is routed to this adapter.
        slot& evicted = slots_.at(command->adapter.id);
        evicted.check_at = {};
        evicted.state = slot_state::unloading;
        evicted.since = now;
        changes_.push_back({{command->adapter.id, evicted.version}, false});
    }
    return command;
}

std::optional<replica_command> slot_tracker::status_check(instant now) const {
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

// Guards against forecasts and check times that are too long by the silence of
// a replica: later requests would be refused, or wait for an adapter that is
// ready.
void slot_tracker::complete_load(
    adapter_id const& id, slot& entry, instant now) {
    bool const from_store = entry.from_store;
    finish_load(entry);
    if (entry.was_silent) {
        return;
    }
    if (from_store) {
        limiter_->record_load(now - entry.since);
    } else if (is_cached(id)) {
        limiter_->record_cached_load(now - entry.since);
    }
}

void slot_tracker::on_repeated_command(
    replica_command const& command, command_result result, instant now) {
    slot& entry = slots_.at(command.adapter.id);
    entry.check_at = now + check_interval;
    entry.unanswered_checks = 0;
    if (result != command_result::already_done) {
        return;
    }
    if (command.kind == replica_command_kind::unload_adapter) {
        slots_.erase(command.adapter.id);
        return;
    }
    complete_load(command.adapter.id, entry, now);
    set_ready(command.adapter.id, entry, entry.version, now);
}

void slot_tracker::on_command_confirmed(
    replica_command const& command, bool already_done, instant now) {
    adapter_id const& id = command.adapter.id;
    bool const load = command.kind != replica_command_kind::unload_adapter;
    // A load of a resident adapter does not count as an accepted command at the
    // replica.
    if (!already_done || !load) {
        sequence_ = command.expected_count + 1;
        last_accepted_at_ = now;
    }
    if (command.kind == replica_command_kind::load_model) {
        model_loading_ = true;
        model_commanded_at_ = now;
        next_report_at_ = now + model_check_delay;
        return;
    }
    if (command.kind == replica_command_kind::unload_adapter) {
        slots_.at(id).reported_from = sequence_;
        slots_.at(id).check_at = now + check_interval;
        if (already_done) {
            slots_.erase(id);
        }
        return;
    }
    bool const replaces = slots_.contains(id);
    slot& entry = slots_[id];
    if (replaces && !already_done) {
        changes_.push_back({{id, entry.version}, false});
    }
    entry.version = command.adapter.version;
    entry.state = slot_state::loading;
    entry.since = now;
    entry.last_used = now;
    entry.reported_from = sequence_;
    entry.unanswered_checks = 0;
    entry.was_silent = false;
    bool const cached = is_cached(id);
    // A replacement waits for the adapter's running attempts, so its duration
    // says nothing about the store.
    finish_load(entry);
    entry.from_store = !replaces && !cached && !already_done;
    if (entry.from_store) {
        limiter_->on_load_started();
    }
    entry.check_at = now + (cached ? limiter_->cached_duration() -
                                         limiter_->cached_duration() / 10
                                   : limiter_->first_check_delay());
    if (already_done) {
        set_ready(id, entry, command.adapter.version, now);
    }
}

void slot_tracker::on_no_answer(replica_command const& command, instant now) {
    auto const found = slots_.find(command.adapter.id);
    bool const is_repeat = found != slots_.end() &&
                           found->second.state != slot_state::resident &&
                           found->second.check_at != instant{};
    if (is_repeat) {
        found->second.check_at = now + check_interval;
        ++found->second.unanswered_checks;
        found->second.was_silent =
            found->second.was_silent ||
            found->second.unanswered_checks >= max_command_attempts;
        return;
    }
    ++unanswered_attempts_;
    if (unanswered_attempts_ < max_command_attempts) {
        unanswered_command_ = command;
        return;
    }
    unanswered_command_.reset();
    unanswered_attempts_ = 0;
    report_required_ = true;
    next_report_at_ = now + report_retry_delay;
}

void slot_tracker::on_result(
    replica_command const& command, command_result result, instant now) {
    auto const found = slots_.find(command.adapter.id);
    bool const already_done = result == command_result::already_done;
    if (result == command_result::no_answer) {
        on_no_answer(command, now);
        return;
    }
    unanswered_command_.reset();
    unanswered_attempts_ = 0;
    // An accepted command is sent again to learn whether it has been carried
    // out; the replica does not count it a second time.
    bool const is_repeat = found != slots_.end() &&
                           found->second.state != slot_state::resident &&
                           found->second.check_at != instant{};
    if (already_done || result == command_result::accepted) {
        if (is_repeat) {
            on_repeated_command(command, result, now);
        } else {
            on_command_confirmed(command, already_done, now);
        }
        return;
    }
    if (is_repeat) {
        found->second.check_at = now + check_interval;
    } else if (
        found != slots_.end() &&
        command.kind == replica_command_kind::unload_adapter) {
        found->second.state = slot_state::resident;
        changes_.push_back({{command.adapter.id, found->second.version}, true});
    }
    report_required_ = result != command_result::not_sent;
    next_report_at_ = now;
    if (result == command_result::rejected) {
        requests_.erase(command.adapter.id);
    }
}

std::vector<residency_change> slot_tracker::drain_changes() {
    return std::exchange(changes_, {});
}

instant slot_tracker::next_check_at(instant now) const {
    instant next_check = now + idle_check_interval;
    if (!has_report_ || report_required_ || busy_ || model_loading_) {
        next_check = std::max(next_report_at_, now);
    }
    for (auto const& [id, each] : slots_) {
        if (each.state != slot_state::resident) {
            next_check = std::min(next_check, each.check_at);
        }
    }
    if (!requests_.empty()) {
        next_check = std::min(next_check, now + check_interval);
    }
    return std::max(next_check, now);
}

} // namespace camphorpoint
