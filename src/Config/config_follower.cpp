#include "Config/config_follower.hpp"

#include "Config/config_record.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace {

log_event event(event_code code, log_level level, std::string detail) {
    return {code, level, std::move(detail)};
}

copied_record
copy_of(log_record const& record, verdict what, log_offset closes) {
    bool const changes_nothing =
        what == verdict::not_a_change || what == verdict::rejected_invalid;
    return {
        record.offset, record.appended.time_since_epoch().count(),
        changes_nothing ? std::string() : record.data, closes};
}

} // namespace

config_follower::config_follower(
    node_id self, follower_settings settings, std::uint64_t seed)
    : self_(std::move(self))
    , settings_(settings)
    , random_(seed)
    , kept_(settings.kept_records) {}

void config_follower::set_peers(std::vector<node_id> peers) {
    std::erase(peers, self_);
    std::ranges::sort(peers);
    peers_ = std::move(peers);
    std::erase_if(reported_, [this](auto const& entry) {
        return !std::ranges::binary_search(peers_, entry.first);
    });
}

std::chrono::milliseconds config_follower::poll_interval() const noexcept {
    constexpr std::uint64_t milliseconds_per_second = 1'000;
    std::uint64_t const nodes = peers_.size() + 1;
    std::chrono::milliseconds const fair(
        nodes * milliseconds_per_second /
        std::max<std::uint64_t>(settings_.reads_per_second, 1));
    return std::clamp(fair, settings_.shortest_poll, settings_.longest_poll);
}

config_actions config_follower::on_tick(instant now) {
    config_actions out;
    if (read_began_ && now - *read_began_ >= settings_.read_timeout) {
        out = on_read_failed(now);
    }
    begin_read(now, out);
    if (round_ && now - round_->sent >= settings_.ask_timeout) {
        finish_round(now, out);
    }
    if (transfer_ && now - transfer_->last_part >= settings_.transfer_timeout) {
        transfer_.reset();
    }
    ask_when_due(now, out);
    for (due_part& each : sender_.take_due()) {
        out.emplace_back(
            config_send{std::move(each.to), std::move(each.message)});
    }
    report_staleness(now, out);
    return out;
}

// ---- the log

void config_follower::begin_read(instant now, config_actions& out) {
    if (read_began_ || now < next_read_) {
        return;
    }
    read_began_ = now;
    read_again_ = false;
    out.emplace_back(config_read{search_ ? search_->at() : current_.next()});
}

config_actions config_follower::on_read_failed(instant now) {
    read_began_.reset();
    ++failures_;
    next_read_ = now + poll_interval();
    return {};
}

config_actions config_follower::on_batch(log_batch const& batch, instant now) {
    config_actions out;
    read_began_.reset();
    failures_ = 0;
    contact_at_ = std::max(contact_at_.value_or(instant{}), batch.read_started);
    // All nodes poll at their own times, or a restart of the whole cluster
    // would make them read the log in step from then on.
    std::int64_t const tenth = poll_interval().count() / 10;
    std::uniform_int_distribution<std::int64_t> jitter(-tenth, tenth);
    next_read_ =
        now + poll_interval() + std::chrono::milliseconds(jitter(random_));
    if (search_) {
        search(batch, now, out);
    } else {
        follow(batch, now, out);
    }
    if (read_again_) {
        next_read_ =
            std::min(next_read_, instant(now + settings_.urgent_pause));
    }
    begin_read(now, out);
    return out;
}

void config_follower::follow(
    log_batch const& batch, instant now, config_actions& out) {
    log_offset const since = current_.next();
    bool const long_way =
        !ready_ && !replay_all_ && since.value == 0 &&
        batch.head.value > batch.first.value + settings_.first_search;
    if (batch.first > since || long_way) {
        begin_search(batch, now, out);
        return;
    }
    bool const was_ready = ready_;
    lost_place_ = false;
    for (log_record const& record : batch.records) {
        if (record.offset > current_.next()) {
            break;
        }
        take(record, out);
    }
    // Not when the log's answer is behind what peers have brought: such an
    // answer knows less than this node does, and proves nothing.
    if (current_.next() == batch.head) {
        confirm(batch.read_started, out);
    } else if (current_.next() > since) {
        next_read_ = now;
    }
    // A node that has just started has news for nobody.
    if (was_ready) {
        push_news(since, node_id(), now, out);
    }
}

void config_follower::take(log_record const& record, config_actions& out) {
    if (record.offset != current_.next()) {
        return;
    }
    apply_report report = current_.apply(record);
    oldest_record_ =
        std::min(oldest_record_.value_or(record.appended), record.appended);
    log_offset closes{};
    if (report.what == verdict::not_a_change) {
        closes = closed_checkpoint(record, out);
        note_checkpoint(closes, record.appended);
    }
    if (report.what == verdict::rejected_invalid) {
        out.emplace_back(event(
            event_code::config_record_invalid, log_level::warning,
            fmt::format(
                "offset={} problem=\"{}\"", record.offset.value,
                report.problem)));
    }
    kept_.push(copy_of(record, report.what, closes));
    out.emplace_back(config_applied{record.offset, std::move(report)});
}

log_offset config_follower::closed_checkpoint(
    log_record const& record, config_actions& out) {
    decoded_record const decoded = decode(record.data);
    auto const* found =
        decoded ? std::get_if<checkpoint_part>(&decoded.value()) : nullptr;
    std::optional<configuration_state> whole;
    bool broken = found == nullptr || found->part.covers > record.offset;
    if (!broken) {
        whole = passing_checkpoints_.add(found->writer.str(), found->part);
        broken = whole && !is_intact(*whole);
    }
    // A broken one must not keep the nodes from writing a good one.
    if (broken) {
        out.emplace_back(event(
            event_code::config_state_broken, log_level::error,
            fmt::format("source=checkpoint offset={}", record.offset.value)));
        return {};
    }
    return whole ? whole->next : log_offset{};
}

void config_follower::note_checkpoint(log_offset covers, wall_time written) {
    if (covers.value == 0) {
        return;
    }
    if (!last_checkpoint_ || covers >= last_checkpoint_->covers) {
        last_checkpoint_ = seen_checkpoint{covers, written};
    }
}

void config_follower::confirm(instant when, config_actions& out) {
    confirmed_at_ = std::max(confirmed_at_.value_or(when), when);
    become_ready(out);
}

void config_follower::become_ready(config_actions& out) {
    if (!ready_) {
        ready_ = true;
        out.emplace_back(event(
            event_code::config_ready, log_level::info,
            fmt::format(
                "next={} digest={:016x} profiles={}", current_.next().value,
                current_.digest(), current_.in_force())));
    }
}

// ---- the search for a checkpoint

void config_follower::begin_search(
    log_batch const& batch, instant now, config_actions& out) {
    if (current_.next().value > 0 && !lost_place_) {
        out.emplace_back(event(
            event_code::config_place_expired, log_level::warning,
            fmt::format(
                "next={} first={}", current_.next().value, batch.first.value)));
    }
    search_.emplace(batch, settings_.first_search);
    next_read_ = now;
}

void config_follower::search(
    log_batch const& batch, instant now, config_actions& out) {
    bool const overtaken =
        current_.next().value > 0 && current_.next() >= batch.first;
    if (overtaken) {
        // A peer's state or records came first, and lead to where the log
        // still has what follows.
        search_.reset();
        next_read_ = now;
        return;
    }
    if (batch.first > search_->at()) {
        // The log trimmed on while it was being read.
        search_.emplace(batch, settings_.first_search);
        next_read_ = now;
        return;
    }
    log_offset const before = search_->at();
    if (search_->take(batch) > 0) {
        out.emplace_back(event(
            event_code::config_state_broken, log_level::error,
            "source=checkpoint"));
    }
    if (search_->stretch_done(batch)) {
        end_search_pass(batch, now, out);
    } else if (search_->at() > before) {
        next_read_ = now;
    }
}

void config_follower::end_search_pass(
    log_batch const& batch, instant now, config_actions& out) {
    next_read_ = now;
    configuration_state const* best = search_->best();
    // A checkpoint must lead on to records that are still there, or what
    // stood between would be missing without a trace.
    if (best != nullptr && best->next >= batch.first &&
        adopt(*best, "checkpoint", out)) {
        search_.reset();
        lost_place_ = false;
    } else if (!search_->reached_first(batch)) {
        search_->widen(batch);
    } else if (batch.first <= current_.next()) {
        // All of the log was looked through, and its first record is the one
        // to go on from: replay does it alone.
        search_.reset();
        replay_all_ = true;
    } else {
        report_no_checkpoint(batch, now, out);
    }
}

void config_follower::report_no_checkpoint(
    log_batch const& batch, instant now, config_actions& out) {
    search_.reset();
    next_read_ = now + settings_.search_pause;
    if (!lost_place_) {
        out.emplace_back(event(
            event_code::config_no_checkpoint, log_level::error,
            fmt::format(
                "next={} first={}", current_.next().value, batch.first.value)));
    }
    lost_place_ = true;
}

bool config_follower::adopt(
    configuration_state const& state, std::string_view source,
    config_actions& out) {
    if (!current_.adopt(state)) {
        return false;
    }
    kept_.clear();
    out.emplace_back(event(
        event_code::config_state_adopted, log_level::info,
        fmt::format(
            "source={} next={} digest={:016x}", source, current_.next().value,
            current_.digest())));
    return true;
}

// ---- staleness

duration config_follower::stale_for(instant now) const noexcept {
    return confirmed_at_ ? now - *confirmed_at_ : duration::max();
}

reason config_follower::may_serve(instant now) const noexcept {
    if (!ready_) {
        return reason::not_ready;
    }
    std::optional<instant> last;
    switch (settings_.when_stale) {
    case staleness_policy::serve:
        return reason::none;
    case staleness_policy::refuse_when_isolated:
        last = contact_at_;
        break;
    case staleness_policy::refuse_when_unconfirmed:
        last = confirmed_at_;
        break;
    }
    bool const fresh = last && now - *last <= settings_.max_staleness;
    return fresh ? reason::none : reason::configuration_stale;
}

void config_follower::report_staleness(instant now, config_actions& out) {
    bool const stale = ready_ && stale_for(now) > settings_.max_staleness;
    if (stale == stale_reported_) {
        return;
    }
    stale_reported_ = stale;
    bool const serving = may_serve(now) == reason::none;
    out.emplace_back(event(
        stale ? event_code::config_stale : event_code::config_fresh_again,
        stale ? log_level::warning : log_level::info,
        fmt::format("next={} serving={}", current_.next().value, serving)));
}

} // namespace camphorpoint
