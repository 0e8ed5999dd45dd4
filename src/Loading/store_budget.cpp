#include "Loading/store_budget.hpp"

#include "Core/moving_average.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

namespace camphorpoint {

namespace {

/// Weight of one waiting request, by urgency class.
constexpr std::array<double, urgency_count> class_weight{8, 4, 2, 1};
/// Loads that take more than this many times the baseline load time indicate a
/// slow store.
constexpr int slow_load_factor = 3;

double seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

} // namespace

store_budget::store_budget(store_limits const& limits)
    : limits_(limits) {
    assert(limits.loads_per_second > 0 && "loads_per_second must be positive");
    assert(limits.concurrency > 0 && "concurrency must be positive");
}

std::size_t store_budget::starts_in_window() const {
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(std::floor(limits_.loads_per_second)));
}

duration store_budget::window() const {
    // A permission may stay unused for `valid_for`, so starts that were
    // permitted within one window could reach the store within a shorter time.
    // This is accepted: the store counts the loads that reach it, one window
    // never permits more than the store's rate, and permissions are normally
    // used at once.
    double const length =
        static_cast<double>(starts_in_window()) / limits_.loads_per_second;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(length));
}

void store_budget::on_authority(
    log_offset fencing, instant not_after, instant now) {
    bool const taken_over = !owned_ || fencing != fencing_;
    owned_ = true;
    fencing_ = fencing;
    not_after_ = not_after;
    if (taken_over) {
        // The former owner may have permitted the loads of a complete window
        // just before its authority ended. Without this delay the loads of both
        // owners would reach the store together and slow it down for all.
        starts_.assign(starts_in_window(), now);
        running_.clear();
    }
    allow_loads(now);
}

void store_budget::on_authority_lost(instant) {
    owned_ = false;
    requests_.clear();
    running_.clear();
}

void store_budget::on_load_request(
    node_id const& from, load_request const& request, instant now) {
    load_key const key{request.replica, request.adapter};
    if (crosses_permission(key, now)) {
        return;
    }
    deny_while_paused(from, request, now);
    auto const known = requests_.find(key);
    if (known == requests_.end()) {
        requests_.emplace(key, pending_request{from, request, now, now});
    } else {
        known->second.from = from;
        known->second.message = request;
        known->second.last_received = now;
    }
    allow_loads(now);
}

bool store_budget::crosses_permission(load_key const& key, instant now) {
    auto const given = std::ranges::find_if(
        running_, [&](auto const& each) { return each.second.key == key; });
    if (given == running_.end()) {
        return false;
    }
    // The repeated request may have crossed its permission in transit, and a
    // further permission would load the same adapter twice. A replica that
    // holds a permission sends no requests, so a later request means that the
    // message with the load's result was lost.
    if (now - given->second.given < limits_.valid_for) {
        return true;
    }
    running_.erase(given);
    return false;
}

void store_budget::deny_while_paused(
    node_id const& to, load_request const& request, instant now) {
    if (now >= paused_until_) {
        return;
    }
    auto const left =
        std::chrono::ceil<std::chrono::milliseconds>(paused_until_ - now);
    load_denied const message{request.replica, request.adapter, left};
    actions_.emplace_back(send_load_denied{to, message});
}

void store_budget::on_load_cancelled(
    node_id const&, load_cancelled const& message, instant now) {
    requests_.erase({message.replica, message.adapter});
    allow_loads(now);
}

void store_budget::on_load_result(
    node_id const&, load_result const& message, instant now) {
    auto const known = running_.find(message.permission);
    bool const matches =
        known != running_.end() &&
        known->second.key == load_key{message.replica, message.adapter};
    if (!matches) {
        // The permission was given by a former owner, or it has expired: there
        // is nothing to release.
        return;
    }
    instant const given = known->second.given;
    running_.erase(known);
    if (!message.started) {
        // The load never reached the store, so its start does not count towards
        // the rate.
        auto const start = std::ranges::find(starts_, given);
        if (start != starts_.end()) {
            starts_.erase(start);
        }
    } else if (message.ok) {
        record_success(message, now);
    } else {
        record_failure(message, now);
    }
    allow_loads(now);
}

void store_budget::record_success(load_result const& message, instant) {
    if (down()) {
        actions_.emplace_back(log_event{
            event_code::store_recovered, log_level::info,
            fmt::format("took_ms={}", message.took.count())});
    }
    failures_ = 0;
    paused_until_ = instant{};
    duration const took = message.took;
    bool const first = baseline_load_time_ == duration{};
    recent_load_time_ = first ? took : move_average(recent_load_time_, took);
    // The baseline follows faster loads at once and slower loads hardly at all,
    // so that a period of slow loads does not become the new baseline.
    constexpr int baseline_drift = 64;
    baseline_load_time_ =
        first || took < baseline_load_time_
            ? took
            : baseline_load_time_ +
                  (took - baseline_load_time_) / baseline_drift;
}

void store_budget::record_failure(load_result const& message, instant now) {
    // Repeated failures of one adapter give no evidence about the store.
    if (message.adapter.id == last_failed_ && !down()) {
        return;
    }
    last_failed_ = message.adapter.id;
    ++failures_;
    if (!down()) {
        return;
    }
    constexpr std::uint32_t max_doublings = 10;
    std::uint32_t const doublings =
        std::min(failures_ - limits_.failures_when_down, max_doublings);
    auto const pause =
        std::min(limits_.first_pause * (1 << doublings), limits_.longest_pause);
    paused_until_ = now + pause;
    actions_.emplace_back(log_event{
        event_code::store_down, log_level::warning,
        fmt::format("failures={} pause_ms={}", failures_, pause.count())});
}

void store_budget::on_tick(instant now) {
    drop_expired(now);
    allow_loads(now);
}

void store_budget::drop_expired(instant now) {
    // A replica whose owner crashed repeats no requests. Its pending requests
    // would receive permissions that are never used, and its permissions would
    // block the store forever.
    std::erase_if(requests_, [&](auto const& each) {
        return now - each.second.last_received > limits_.request_lifetime;
    });
    std::erase_if(running_, [&](auto const& each) {
        return now - each.second.given > limits_.longest_load;
    });
}

bool store_budget::window_is_full(instant now) const {
    if (starts_.size() < starts_in_window()) {
        return false;
    }
    instant const oldest = starts_[starts_.size() - starts_in_window()];
    return now - oldest < window();
}

bool store_budget::may_start(instant now) const {
    // The end of the authority is checked before each permission, since an
    // owner that was paused may resume at any point without noticing that its
    // authority has expired.
    bool const authorized = owned_ && now < not_after_;
    std::size_t const max_running = down() ? 1 : limits_.concurrency;
    return authorized && now >= paused_until_ &&
           running_.size() < max_running && !window_is_full(now);
}

bool store_budget::may_prefetch(instant now) const {
    bool const slow =
        baseline_load_time_ > duration{} &&
        recent_load_time_ > baseline_load_time_ * slow_load_factor;
    if (down() || slow || !running_.empty()) {
        return false;
    }
    double const allowed =
        limits_.prefetch_fraction * static_cast<double>(starts_in_window());
    auto const recent = std::ranges::count_if(
        starts_, [&](instant start) { return now - start < window(); });
    return static_cast<double>(recent) < std::max(1.0, allowed);
}

double store_budget::weight(pending_request const& each, instant now) const {
    double const expected_requests = each.message.expected_demand *
                                     seconds(duration(limits_.demand_horizon));
    double const request_count =
        static_cast<double>(each.message.waiting) + expected_requests;
    duration const waited =
        duration(each.message.oldest_wait) + (now - each.last_received);
    double const age_factor = 1.0 + seconds(waited) / seconds(limits_.aging);
    auto const index = static_cast<std::size_t>(each.message.how_urgent);
    return class_weight.at(index) * request_count * age_factor;
}

store_budget::request_map::iterator store_budget::best_request(instant now) {
    auto best = requests_.end();
    double best_weight = 0;
    bool const prefetch_allowed = may_prefetch(now);
    for (auto each = requests_.begin(); each != requests_.end(); ++each) {
        bool const prefetch = each->second.message.is_prefetch();
        if (prefetch && !prefetch_allowed) {
            continue;
        }
        double const own = weight(each->second, now);
        bool const first = best == requests_.end();
        bool const best_is_prefetch =
            !first && best->second.message.is_prefetch();
        bool const better = first || (best_is_prefetch && !prefetch) ||
                            (best_is_prefetch == prefetch && own > best_weight);
        if (better) {
            best = each;
            best_weight = own;
        }
    }
    return best;
}

void store_budget::allow_loads(instant now) {
    while (may_start(now)) {
        auto const best = best_request(now);
        if (best == requests_.end()) {
            return;
        }
        allow_load(best, now);
    }
}

void store_budget::allow_load(request_map::iterator which, instant now) {
    std::uint64_t const number = next_permission_++;
    load_key const key = which->first;
    running_.emplace(number, permission{key, now});
    starts_.push_back(now);
    while (starts_.size() > starts_in_window()) {
        starts_.pop_front();
    }
    load_allowed const message{
        key.replica, key.adapter, number, limits_.valid_for};
    actions_.emplace_back(send_load_allowed{which->second.from, message});
    requests_.erase(which);
}

std::vector<budget_action> store_budget::take_actions() {
    return std::exchange(actions_, {});
}

} // namespace camphorpoint
