#include "test/fuzz/oracle.hpp"

#include "Config/config_record.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace camphorpoint::fuzz {

namespace {

/// A leaving endpoint gets no new work later than this after the list first
/// said so: the brief's few seconds, and what a grant under way may take.
constexpr std::chrono::milliseconds leaving_limit{2'000};
constexpr std::chrono::milliseconds leaving_margin{1'000};

} // namespace

void plain_replay::read(std::vector<log_record> const& records) {
    while (after_.size() < records.size()) {
        state next = after_.empty() ? state{} : after_.back();
        decoded_record const record = decode(records[after_.size()].data);
        change const* const made =
            record ? std::get_if<change>(&record.value()) : nullptr;
        if (record) {
            auto const* const withdrawn =
                std::get_if<change_withdrawal>(&record.value());
            if (withdrawn != nullptr) {
                seen_[withdrawn->id] = true;
            }
        }
        if (made != nullptr && !std::exchange(seen_[made->id], true)) {
            auto const& edit = std::get<put_profile>(made->edits.front());
            entry& each = next[edit.next.name];
            if (each.revision == edit.base_revision) {
                each = {edit.next.adapter, each.revision + 1};
            }
        }
        after_.push_back(std::move(next));
    }
}

adapter_ref
plain_replay::adapter_at(log_offset offset, profile_name const& name) const {
    if (offset.value == 0 || offset.value > after_.size()) {
        return {};
    }
    state const& at = after_[offset.value - 1];
    auto const found = at.find(name);
    return found == at.end() ? adapter_ref{} : found->second.adapter;
}

std::uint64_t plain_replay::revision(profile_name const& name) const {
    if (after_.empty()) {
        return 0;
    }
    auto const found = after_.back().find(name);
    return found == after_.back().end() ? 0 : found->second.revision;
}

oracle::oracle(test::cluster& watched)
    : all_(watched)
    , nodes_(watched.nodes.size()) {
    all_.watch = [this](std::size_t node, node_event const& event) {
        see(node, event);
    };
    all_.filter = [this](std::size_t node, node_action const& action) {
        return see(node, action);
    };
}

void oracle::breach(std::string text) {
    breaches_.push_back(std::move(text));
}

void oracle::leaving(std::size_t engine, bool leaves) {
    endpoint_id const& id = all_.engines[engine].instance.id;
    if (leaves) {
        left_.emplace(id, all_.now());
    } else {
        left_.erase(id);
    }
}

void oracle::see(std::size_t node, node_event const& event) {
    if (auto const* const asked = std::get_if<caller_request>(&event)) {
        configuration const& known = all_.nodes[node].core->in_force();
        replay_.read(all_.log.records(log_stream::configuration));
        posted made;
        made.asked = *asked;
        made.node = node;
        made.run = all_.nodes[node].run;
        made.adapter = replay_.adapter_at(known.next(), asked->profile);
        made.idempotent = asked->profile != profile_name("booking");
        posts_.emplace(asked->id, made);
    }
    if (auto const* const gone = std::get_if<caller_disconnected>(&event)) {
        auto const found = posts_.find(gone->id);
        if (found != posts_.end()) {
            found->second.gone = true;
        }
    }
}

bool oracle::see(std::size_t node, node_action const& action) {
    auto const* const sent = std::get_if<send_peer>(&action);
    if (sent != nullptr && sent->to.empty()) {
        breach(fmt::format(
            "n{} sends a message of kind {} to nobody", node,
            sent->message.index()));
        return false;
    }
    if (auto const* const start = std::get_if<start_attempt>(&action)) {
        see_start(*start);
    }
    if (auto const* const cancel = std::get_if<cancel_attempt>(&action)) {
        see_cancel(node, *cancel);
    }
    if (std::holds_alternative<drain_finished>(action)) {
        check_drained(node);
    }
    return true;
}

void oracle::see_start(start_attempt const& action) {
    attempt_ends_[action.id] = action.deadline;
    posted const& request = posts_.at(action.id);
    if (action.adapter != request.adapter) {
        breach(fmt::format("{} has another adapter", action.id.str()));
    }
    auto const left = left_.find(action.endpoint);
    if (left != left_.end() && action.from_token == 0 &&
        all_.now() > left->second + leaving_limit + leaving_margin) {
        breach(fmt::format(
            "{} starts on {}, which leaves", action.id.str(),
            action.endpoint.str()));
    }
}

void oracle::see_cancel(std::size_t node, cancel_attempt const& action) {
    if (all_.nodes[node].draining && !posts_.at(action.id).gone &&
        all_.now() < attempt_ends_[action.id]) {
        breach(fmt::format("a planned stop cuts {}", action.id.str()));
    }
}

void oracle::check_drained(std::size_t node) {
    if (all_.streams(node)) {
        breach(fmt::format("n{} stops beside its stream", node));
    }
    for (auto const& [id, each] : posts_) {
        if (each.node == node && each.run == all_.nodes[node].run &&
            !each.gone && !all_.endings.contains(id)) {
            breach(fmt::format("n{} stops and loses {}", node, id.str()));
        }
    }
}

void oracle::check_now() {
    replay_.read(all_.log.records(log_stream::configuration));
    check_runs();
    check_endings();
    check_configurations();
    for (test::fake_engine const& each : all_.engines) {
        if (each.evicted_in_use > 0) {
            breach(each.instance.id.str() + " evicts an adapter in use");
        }
    }
}

void oracle::check_runs() {
    for (; runs_seen_ < all_.runs.size(); ++runs_seen_) {
        start_attempt const& run = all_.runs[runs_seen_];
        posted const& request = posts_.at(run.id);
        std::size_t const times = ++runs_of_request_[run.id];
        std::size_t const key_times =
            request.asked.key ? ++runs_of_key_[*request.asked.key] : 1;
        if (!request.idempotent && (times > 1 || key_times > 1)) {
            breach(fmt::format("{} runs a second time", run.id.str()));
        }
    }
}

void oracle::check_endings() {
    for (auto const& [id, ends] : all_.endings) {
        if (ends.size() > 1) {
            breach(fmt::format("{} ends {} times", id.str(), ends.size()));
        }
        bool const ran = runs_of_request_.contains(id);
        if (ran && ends.front().how == outcome::not_run) {
            breach(fmt::format("{} ran, but \"not run\" was told", id.str()));
        }
    }
}

void oracle::check_configurations() {
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        test::cluster_node const& each = all_.nodes[node];
        if (each.core == nullptr) {
            continue;
        }
        configuration const& known = each.core->in_force();
        node_memory& before = nodes_[node];
        if (before.run == each.run && known.next() < before.offset) {
            breach(fmt::format("n{} goes back", node));
        }
        before = {each.run, known.next()};
        std::uint64_t const digest =
            digests_.emplace(known.next(), known.digest()).first->second;
        if (digest != known.digest()) {
            breach(fmt::format(
                "n{} differs at offset {}", node, known.next().value));
        }
        for (auto const& [name, state] : known.all()) {
            profile const* const found = known.find(name);
            adapter_ref const right = replay_.adapter_at(known.next(), name);
            if (found == nullptr || found->adapter != right) {
                breach(fmt::format("n{} has {} wrong", node, name.str()));
            }
        }
    }
}

void oracle::check_quiet() {
    check_now();
    for (auto const& [id, each] : posts_) {
        bool const node_died = all_.nodes[each.node].run != each.run;
        if (!node_died && !all_.endings.contains(id)) {
            breach(fmt::format("{} never ends", id.str()));
        }
    }
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        check_node_quiet(node);
    }
}

void oracle::check_node_quiet(std::size_t node) {
    node_status const shown = all_.nodes[node].core->status(all_.now());
    if (!shown.ready) {
        breach(fmt::format("n{} is not ready", node));
    }
    if (shown.waiting_requests + shown.running_requests > 0) {
        breach(fmt::format("n{} still holds requests", node));
    }
    for (replica_status const& each : shown.replicas) {
        if (each.queued + each.running > 0) {
            breach(fmt::format(
                "n{} still holds {} queued, {} running of {}", node,
                each.queued, each.running, each.replica.str()));
        }
    }
    if (shown.configuration.value != replay_.read_so_far()) {
        breach(fmt::format("n{} has not read the whole log", node));
    }
}

} // namespace camphorpoint::fuzz
