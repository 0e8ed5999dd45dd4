#pragma once

#include "config_fixtures.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace camphorpoint {

/// Followers on one fake log, in virtual time.
class config_cluster {
public:
    struct node {
        explicit node(config_follower made)
            : follower(std::move(made)) {}

        config_follower follower;
        bool paused = false;
        bool cut_from_log = false;
        bool cut_from_peers = false;
        std::vector<log_event> events;
        std::size_t reads = 0;
        std::size_t bytes_in = 0;
    };

    node& add(std::string const& name, follower_settings settings = {}) {
        node_id const id(name);
        nodes_.emplace(
            id, node(config_follower(id, settings, nodes_.size() + 1)));
        std::vector<node_id> names;
        for (auto const& [each, unused] : nodes_) {
            names.push_back(each);
        }
        for (auto& [each, state] : nodes_) {
            state.follower.set_peers(names);
        }
        return nodes_.at(id);
    }
    node& at(std::string const& name) { return nodes_.at(node_id(name)); }
    std::map<node_id, node>& nodes() { return nodes_; }

    /// Lets time pass in steps of a tick, which a message takes to arrive.
    void run(std::chrono::milliseconds time) {
        for (instant const end = now + time; now < end; now += tick) {
            std::vector<letter> arriving;
            arriving.swap(mail_);
            for (letter& each : arriving) {
                deliver(each);
            }
            for (auto& [id, state] : nodes_) {
                if (!state.paused) {
                    perform(id, state, state.follower.on_tick(now));
                }
            }
        }
    }
    void perform(node_id const& id, node& state, config_actions actions) {
        for (config_action& each : actions) {
            if (auto* event = std::get_if<log_event>(&each)) {
                state.events.push_back(*event);
            } else if (auto* sent = std::get_if<config_send>(&each)) {
                mail_.push_back({id, sent->to, std::move(sent->message)});
            } else if (auto* read = std::get_if<config_read>(&each)) {
                answer_read(id, state, read->from);
            }
        }
    }
    void hand(
        std::string const& to, std::string const& from,
        config_message const& message) {
        node& state = at(to);
        perform(
            node_id(to), state,
            state.follower.on_peer(node_id(from), message, now));
    }
    static bool said(node const& state, event_code code) {
        return std::ranges::count(state.events, code, &log_event::code) > 0;
    }

    fake_log log;
    instant now{std::chrono::hours(1)};

private:
    static constexpr std::chrono::milliseconds tick{20};
    struct letter {
        node_id from;
        node_id to;
        config_message message;
    };

    void answer_read(node_id const& id, node& state, log_offset from) {
        ++state.reads;
        perform(
            id, state,
            state.cut_from_log
                ? state.follower.on_read_failed(now)
                : state.follower.on_batch(log.read(from, now), now));
    }
    void deliver(letter const& each) {
        auto const to = nodes_.find(each.to);
        auto const from = nodes_.find(each.from);
        if (to == nodes_.end() || to->second.paused ||
            to->second.cut_from_peers ||
            (from != nodes_.end() && from->second.cut_from_peers)) {
            return;
        }
        if (auto* news = std::get_if<config_records>(&each.message)) {
            for (copied_record const& record : news->records) {
                to->second.bytes_in += record.data.size();
            }
        }
        perform(
            to->first, to->second,
            to->second.follower.on_peer(each.from, each.message, now));
    }

    std::map<node_id, node> nodes_;
    std::vector<letter> mail_;
};

} // namespace camphorpoint
