#include "Config/checkpoint_writer.hpp"

#include "Config/state_assembler.hpp"
#include "Placement/rendezvous.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorpoint {

namespace {

/// A checkpoint is due after this share of the retention time, so that a
/// cluster that is down for the rest of it still finds one.
constexpr int retention_share = 4;
/// The log may take this long to show a checkpoint to its own writer.
constexpr std::chrono::seconds settle_time{30};
/// Nodes of a higher rank than this wait no longer than it.
constexpr std::size_t last_rank = 60;

} // namespace

checkpoint_writer::checkpoint_writer(node_id self, checkpoint_settings settings)
    : self_(std::move(self))
    , settings_(settings) {}

std::vector<checkpoint_action> checkpoint_writer::on_tick(
    config_follower const& follower, std::vector<node_id> const& peers,
    instant now, wall_time calendar) {
    std::vector<checkpoint_action> out;
    if (writing()) {
        write_on(follower, now, out);
        return out;
    }
    if (now < not_before_ || !due(follower, calendar)) {
        start_at_.reset();
        return out;
    }
    if (!start_at_) {
        auto const& last = follower.last_checkpoint();
        log_offset const since = last ? last->covers : log_offset{};
        start_at_ = now + wait_by_rank(since, peers);
    }
    if (now >= *start_at_) {
        begin(follower, now, out);
    }
    return out;
}

bool checkpoint_writer::due(
    config_follower const& follower, wall_time calendar) const {
    log_offset const next = follower.current().next();
    if (!follower.ready() || next.value == 0) {
        return false;
    }
    auto const& last = follower.last_checkpoint();
    std::uint64_t const covered = last ? last->covers.value : 0;
    if (next.value >= covered + settings_.records_between) {
        return true;
    }
    // By the age of what is in the log, also when nothing has changed since:
    // the checkpoint itself expires like any record.
    std::optional<wall_time> const since =
        last ? std::optional(last->written) : follower.oldest_record();
    return !since || calendar - *since >= settings_.retention / retention_share;
}

duration checkpoint_writer::wait_by_rank(
    log_offset since, std::vector<node_id> const& peers) const {
    std::vector<node_id> nodes = peers;
    std::erase(nodes, self_);
    nodes.push_back(self_);
    std::string const key = fmt::format("checkpoint/{}", since.value);
    std::vector<node_id> const ranked =
        rendezvous_top(key, nodes, nodes.size());
    auto const place = std::ranges::find(ranked, self_);
    auto const rank =
        static_cast<std::size_t>(std::distance(ranked.begin(), place));
    return settings_.rank_delay * std::min(rank, last_rank);
}

void checkpoint_writer::begin(
    config_follower const& follower, instant now,
    std::vector<checkpoint_action>& out) {
    configuration_state const state = follower.current().snapshot();
    covers_ = state.next;
    for (state_part& part : split_state(state, settings_.part_bytes)) {
        parts_.push_back({self_, std::move(part)});
    }
    next_part_ = now;
    give_up_at_ = now + settings_.retention / (2 * retention_share);
    out.emplace_back(log_event{
        event_code::config_checkpoint_begun, log_level::info,
        fmt::format("covers={} parts={}", covers_.value, parts_.size())});
}

void checkpoint_writer::write_on(
    config_follower const& follower, instant now,
    std::vector<checkpoint_action>& out) {
    auto const& last = follower.last_checkpoint();
    bool const overtaken = last && last->covers >= covers_;
    if (overtaken || now >= give_up_at_) {
        stop(now);
        return;
    }
    if (appending_ || now < next_part_) {
        return;
    }
    if (part_done_) {
        part_done_ = false;
        parts_.pop_front();
    }
    if (parts_.empty()) {
        out.emplace_back(log_event{
            event_code::config_checkpoint_written, log_level::info,
            fmt::format("covers={}", covers_.value)});
        stop(now);
        return;
    }
    appending_ = true;
    out.emplace_back(checkpoint_append{++last_append_, encode(parts_.front())});
}

void checkpoint_writer::stop(instant now) {
    parts_.clear();
    start_at_.reset();
    appending_ = false;
    part_done_ = false;
    not_before_ = now + settle_time;
}

void checkpoint_writer::on_append_ended(
    std::uint64_t append, append_result how, instant now) {
    if (!appending_ || append != last_append_) {
        return;
    }
    appending_ = false;
    // A part whose answer was lost is sent again: twice does no harm.
    part_done_ = how == append_result::appended;
    next_part_ = now + settings_.part_pause;
}

} // namespace camphorpoint
