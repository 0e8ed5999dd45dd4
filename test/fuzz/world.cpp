#include "test/fuzz/world.hpp"

#include "Config/config_record.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace camphorpoint::fuzz {

namespace {

using test::milliseconds;

constexpr std::size_t node_count = 3;
constexpr std::size_t engine_count = 2;
constexpr milliseconds first_settling{20'000};
/// Grants of dead nodes lapse and the last owner's evidence comes in.
constexpr milliseconds quiet_time{150'000};
constexpr milliseconds deadline{8'000};
constexpr std::uint32_t token_count = 30;

/// Only bookings may not run twice.
constexpr std::array<char const*, 3> profile_names{"audit", "booking", "scan"};

profile make_profile(std::uint32_t which, std::uint32_t version) {
    std::string const name = profile_names[which % profile_names.size()];
    profile made;
    made.name = profile_name(name);
    made.model = model_id("base");
    made.adapter = {adapter_id(name), version};
    made.idempotent = name != "booking";
    return made;
}

std::string encode_change(
    std::string const& id, profile const& next, std::uint64_t base_revision) {
    change edit;
    edit.id = change_id(id);
    edit.author = "the fuzzer";
    edit.edits.push_back(put_profile{base_revision, next});
    return encode(config_record(edit));
}

} // namespace

world::world()
    : all(node_count, engine_count)
    , watcher(all) {
    for (test::fake_engine& each : all.engines) {
        each.tokens = token_count;
    }
    for (std::uint32_t which = 0; which < profile_names.size(); ++which) {
        all.publish(make_profile(which, 1));
    }
    all.run(first_settling);
}

void world::carry_out(command const& what) {
    if (what.kind <= command_kind::caller_leaves) {
        post(what);
    } else if (what.kind <= command_kind::repeat_change) {
        apply(what);
    } else if (
        what.kind <= command_kind::start || what.kind == command_kind::stop) {
        disturb_node(what);
    } else if (what.kind <= command_kind::log_up) {
        disturb_world(what);
    } else {
        disturb_engine(what);
    }
    all.run(milliseconds(what.pause));
    start_stopped();
    watcher.check_now();
}

// A node that has finished its planned stop ends, and starts again.
void world::start_stopped() {
    for (std::size_t node = 0; node < node_count; ++node) {
        if (all.nodes[node].drained) {
            all.kill(node);
            all.run(milliseconds(1));
            all.start(node);
        }
    }
}

void world::post(command const& what) {
    std::size_t const node = what.at % node_count;
    if (what.kind == command_kind::caller_leaves) {
        if (!posted_.empty()) {
            std::size_t const which =
                posted_.size() - 1 - what.which % posted_.size();
            all.bring(
                posted_at_[which], caller_disconnected{posted_[which].id});
        }
        return;
    }
    caller_request made;
    bool const repeat = what.kind == command_kind::repeat_key;
    if (repeat && keyed_.empty()) {
        return;
    }
    if (repeat) {
        made = keyed_[keyed_.size() - 1 - what.which % keyed_.size()];
    } else {
        made.profile = make_profile(what.which, 1).name;
        made.deadline = deadline;
    }
    made.id = request_id(fmt::format("r{}", posted_.size()));
    if (what.kind == command_kind::keyed_request) {
        made.key = all.new_key();
        keyed_.push_back(made);
    }
    posted_.push_back(made);
    posted_at_.push_back(node);
    all.post(node, made);
}

void world::apply(command const& what) {
    if (what.kind == command_kind::repeat_change) {
        if (!changes_.empty()) {
            repeat_change(changes_[what.which % changes_.size()], what.at);
        }
        return;
    }
    ++version_;
    std::uint64_t base = 0;
    for (test::cluster_node const& each : all.nodes) {
        profile const next = make_profile(what.which, 1);
        if (each.core != nullptr) {
            base = std::max(base, each.core->in_force().revision_of(next.name));
        }
    }
    if (what.kind == command_kind::conflicting_apply) {
        ++base;
    }
    std::string const record = encode_change(
        fmt::format("c{}", version_), make_profile(what.which, version_), base);
    changes_.push_back(record);
    all.bring(what.at % node_count, publish_request{changes_.size(), record});
}

// An operator sends a change again, or a retry below the publisher does.
void world::repeat_change(std::string const& record, std::uint32_t at) {
    if (at < node_count) {
        all.bring(at, publish_request{changes_.size(), record});
    } else {
        all.log.append(log_stream::configuration, record, all.wall());
    }
}

void world::disturb_node(command const& what) {
    std::size_t const node = what.at % node_count;
    bool const lives = all.nodes[node].core != nullptr;
    switch (what.kind) {
    case command_kind::pause:
        all.nodes[node].paused = lives;
        break;
    case command_kind::go_on:
        all.go_on(node);
        break;
    case command_kind::kill:
        all.kill(node);
        break;
    case command_kind::start:
        if (!lives) {
            all.run(milliseconds(1));
            all.start(node);
        }
        break;
    default:
        if (!all.nodes[node].draining) {
            all.bring(node, drain_started{});
        }
    }
}

void world::disturb_world(command const& what) {
    constexpr std::uint32_t lost_step = 10;
    constexpr milliseconds late_step{150};
    switch (what.kind) {
    case command_kind::cut_off:
        all.net.cut_off.insert(what.at % node_count);
        break;
    case command_kind::heal:
        all.net.heal();
        break;
    case command_kind::lose_messages:
        all.net.lost_percent = lost_step * what.which;
        break;
    case command_kind::delay_messages:
        all.net.lateness = late_step * what.which;
        break;
    case command_kind::log_down:
        all.log.down = true;
        break;
    case command_kind::log_loses_answers:
        all.log.loses_answers = true;
        break;
    default:
        all.log.down = false;
        all.log.loses_answers = false;
    }
}

void world::disturb_engine(command const& what) {
    std::size_t const index = what.at % engine_count;
    test::fake_engine& engine = all.engines[index];
    bool const leaves = what.kind == command_kind::engine_leaves;
    switch (what.kind) {
    case command_kind::loads_fail:
        engine.fails_loads = true;
        break;
    case command_kind::orders_unanswered:
        engine.loses_answers = true;
        break;
    case command_kind::restart_engine:
        all.restart_engine(index);
        break;
    case command_kind::cut_streams:
        all.cut_streams(index);
        break;
    case command_kind::engine_leaves:
    case command_kind::engine_returns:
        engine.instance.state =
            leaves ? instance_state::leaving : instance_state::live;
        watcher.leaving(index, leaves);
        break;
    default:
        engine.fails_loads = false;
        engine.loses_answers = false;
    }
}

void world::settle() {
    all.net.heal();
    all.log.down = false;
    all.log.loses_answers = false;
    for (std::size_t index = 0; index < engine_count; ++index) {
        disturb_engine(
            {command_kind::engine_well, static_cast<std::uint32_t>(index)});
        disturb_engine(
            {command_kind::engine_returns, static_cast<std::uint32_t>(index)});
    }
    all.run(milliseconds(1));
    for (std::size_t node = 0; node < node_count; ++node) {
        if (all.nodes[node].core == nullptr) {
            all.start(node);
        }
        all.go_on(node);
    }
    // Planned stops come to their end within the first half.
    all.run(quiet_time / 2);
    start_stopped();
    all.run(quiet_time / 2);
    watcher.check_quiet();
}

std::vector<std::string> world::run(std::vector<command> const& commands) {
    for (command const& each : commands) {
        carry_out(each);
        if (!watcher.breaches().empty()) {
            return watcher.breaches();
        }
    }
    settle();
    return watcher.breaches();
}

} // namespace camphorpoint::fuzz
