#include "test/support/cluster.hpp"

#include "Config/config_record.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace camphorpoint::test {

namespace {

constexpr milliseconds net_delay{1};
constexpr milliseconds list_period{500};

} // namespace

cluster::cluster(std::size_t node_count, std::size_t engine_count) {
    for (std::size_t index = 0; index < engine_count; ++index) {
        fake_engine engine;
        engine.instance.id = endpoint_id(fmt::format("e{}", index));
        engine.instance.model = model_id("base");
        engine.instance.address = "address";
        engine.instance.adapter_slots = 2;
        engine.instance.batch_limit = 4;
        engines.push_back(engine);
    }
    nodes.resize(node_count);
    for (std::size_t index = 0; index < node_count; ++index) {
        node_instance& instance = nodes[index].instance;
        instance.id = node_id(fmt::format("n{}", index));
        instance.peer_address = fmt::format("10.0.0.{}:1", index);
        start(index);
    }
    tick_all();
    list_all();
}

wall_time cluster::wall() const {
    constexpr std::chrono::days since_epoch{20'000};
    return wall_time(
        since_epoch +
        std::chrono::floor<milliseconds>(now_.time_since_epoch()));
}

void cluster::after(duration delay, std::function<void()> what) {
    queue_.emplace(now_ + delay, std::move(what));
}

void cluster::run(milliseconds time) {
    instant const until = now_ + time;
    while (!queue_.empty() && queue_.begin()->first <= until) {
        auto next = queue_.extract(queue_.begin());
        now_ = next.key();
        next.mapped()();
    }
    now_ = until;
}

void cluster::tick_all() {
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        if (!nodes[index].paused) {
            bring(index, tick{});
        }
    }
    after(tick_period, [this] { tick_all(); });
}

void cluster::list_all() {
    instance_list list;
    for (cluster_node const& each : nodes) {
        if (each.core != nullptr) {
            list.nodes.push_back(each.instance);
        }
    }
    for (fake_engine const& each : engines) {
        list.endpoints.push_back(each.instance);
    }
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        later(index, net_delay, list);
        for (fake_engine const& each : engines) {
            if (now_ >= each.silent_until) {
                later(index, net_delay, each.report());
            }
        }
    }
    after(list_period, [this] { list_all(); });
}

void cluster::start(std::size_t node) {
    cluster_node& which = nodes[node];
    ++which.run;
    serving_settings settings;
    settings.self = which.instance;
    settings.start_time_ms =
        static_cast<std::uint64_t>(wall().time_since_epoch().count());
    settings.seed = which.run;
    which.core = std::make_unique<node_core>(settings);
    which.paused = false;
    which.held_back.clear();
    which.draining = false;
    which.drained = false;
}

void cluster::kill(std::size_t node) {
    nodes[node].core.reset();
    ++nodes[node].run;
    // The engines see the connections close, and cancel.
    for (auto const& [id, attempt] : running_) {
        if (attempt.node == node) {
            engine_at(attempt.order.endpoint)
                .running.erase(attempt.order.engine_id);
        }
    }
    std::erase_if(
        running_, [&](auto const& each) { return each.second.node == node; });
}

void cluster::restart_engine(std::size_t engine) {
    cut_streams(engine);
    engines[engine].resident.clear();
    engines[engine].known.clear();
    ++engines[engine].incarnation;
}

void cluster::silence_engine(std::size_t engine, milliseconds time) {
    engines[engine].silent_until = now_ + time;
}

duration cluster::silence_left(endpoint_id const& engine) {
    return std::max(duration(0), engine_at(engine).silent_until - now_);
}

void cluster::cut_streams(std::size_t engine) {
    std::vector<running_attempt> cut;
    for (auto const& [id, attempt] : running_) {
        if (attempt.order.endpoint == engines[engine].instance.id) {
            cut.push_back(attempt);
        }
    }
    for (running_attempt const& each : cut) {
        end_attempt(each, attempt_result::truncated);
    }
}

bool cluster::streams(std::size_t node) const {
    return std::ranges::any_of(
        running_, [&](auto const& each) { return each.second.node == node; });
}

void cluster::go_on(std::size_t node) {
    nodes[node].paused = false;
    for (node_event& each : std::exchange(nodes[node].held_back, {})) {
        bring(node, std::move(each));
    }
}

void cluster::later(std::size_t node, duration delay, node_event event) {
    std::uint64_t const run = nodes[node].run;
    after(delay, [this, node, run, event = std::move(event)] {
        if (nodes[node].run == run) {
            bring(node, event);
        }
    });
}

void cluster::bring(std::size_t node, node_event event) {
    cluster_node& which = nodes[node];
    if (which.core == nullptr) {
        return;
    }
    if (which.paused) {
        which.held_back.push_back(std::move(event));
        return;
    }
    if (watch) {
        watch(node, event);
    }
    if (std::holds_alternative<drain_started>(event)) {
        which.draining = true;
    }
    std::vector<node_action> actions;
    which.core->handle(event, now_, wall(), actions);
    for (node_action const& each : actions) {
        if (!filter || filter(node, each)) {
            carry_out(node, each);
        }
    }
}

void cluster::post(std::size_t node, caller_request const& asked) {
    bring(node, asked);
}

idempotency_key cluster::new_key() {
    return generate_key(wall(), random_);
}

void cluster::publish(profile next, std::uint64_t base_revision) {
    change edit;
    edit.id = change_id(fmt::format("{}-{}", next.name.str(), base_revision));
    edit.author = "a test";
    edit.edits.push_back(put_profile{base_revision, std::move(next)});
    log.append(log_stream::configuration, encode(config_record(edit)), wall());
}

void cluster::carry_out(std::size_t node, node_action const& action) {
    std::visit(
        [&](auto const& each) {
            if constexpr (requires { on(node, each); }) {
                on(node, each);
            }
        },
        action);
}

std::size_t cluster::index_of(node_id const& id) const {
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        if (nodes[index].instance.id == id) {
            return index;
        }
    }
    FAIL("no such node: " << id.str());
    return 0;
}

fake_engine& cluster::engine_at(endpoint_id const& id) {
    for (fake_engine& each : engines) {
        if (each.instance.id == id) {
            return each;
        }
    }
    FAIL("no such engine: " << id.str());
    return engines.front();
}

void cluster::on(std::size_t node, send_peer const& action) {
    std::size_t const to = index_of(action.to);
    transit const way = net.send(node, to, now_, net_delay);
    if (nodes[to].core == nullptr || way.lost) {
        later(node, way.delay, peer_unreachable{action.to});
        return;
    }
    later(
        to, way.delay, peer_received{nodes[node].instance.id, action.message});
}

void cluster::on(std::size_t node, send_probe const& action) {
    std::size_t const to = index_of(action.to);
    transit const way = net.datagram(node, to, net_delay);
    if (!way.lost) {
        later(to, way.delay, probe_received{encode_probe(action.message)});
    }
}

void cluster::on(std::size_t node, read_log const& action) {
    if (log.down) {
        later(node, net_delay, log_read_failed{action.stream});
        return;
    }
    later(node, net_delay, log.read(action.stream, action.from, now_));
}

void cluster::on(std::size_t node, append_log const& action) {
    if (log.down) {
        later(
            node, net_delay,
            log_append_ended{action.append, append_result::not_sent, {}});
        return;
    }
    log_offset const offset = log.append(action.stream, action.data, wall());
    append_result const how =
        log.loses_answers ? append_result::lost : append_result::appended;
    later(node, net_delay, log_append_ended{action.append, how, offset});
}

void cluster::on(std::size_t node, engine_order const& action) {
    fake_engine& engine = engine_at(action.replica);
    bool const load = action.kind == engine_order_kind::load;
    duration const time = load ? engine.load_time : net_delay;
    after(time, [this, node, action, run = engine.incarnation] {
        if (engine_at(action.replica).incarnation != run) {
            later(
                node, net_delay,
                command_ended{action.number, order_result::lost});
            return;
        }
        take_order(node, action);
    });
}

void cluster::take_order(std::size_t node, engine_order const& order) {
    if (duration const left = silence_left(order.replica); left > duration(0)) {
        after(left, [this, node, order] { take_order(node, order); });
        return;
    }
    fake_engine& engine = engine_at(order.replica);
    order_result const how = engine.take(order);
    later(
        node, net_delay,
        command_ended{
            order.number, engine.loses_answers ? order_result::lost : how});
}

void cluster::on(std::size_t node, start_attempt const& action) {
    attempts.push_back(action);
    running_attempt const attempt{node, action, action.from_token, now_};
    if (now_ >= action.send_before) {
        end_attempt(attempt, attempt_result::not_sent);
    } else if (silence_left(action.endpoint) > duration(0)) {
        running_[action.id] = attempt;
        await_engine(attempt, &cluster::begin);
    } else {
        begin(attempt);
    }
}

void cluster::await_engine(
    running_attempt const& attempt, void (cluster::*next)(running_attempt)) {
    duration const left = std::min(
        silence_left(attempt.order.endpoint), attempt.order.deadline - now_);
    after(left, [this, attempt, next] {
        if (!is_current(attempt)) {
            return;
        }
        if (now_ >= attempt.order.deadline) {
            end_attempt(attempt, attempt_result::timed_out);
            return;
        }
        (this->*next)(attempt);
    });
}

bool cluster::is_current(running_attempt const& attempt) const {
    auto const found = running_.find(attempt.order.id);
    return found != running_.end() &&
           found->second.order.attempt == attempt.order.attempt;
}

void cluster::begin(running_attempt begun) {
    running_attempt const attempt = std::move(begun);
    start_attempt const& order = attempt.order;
    fake_engine& engine = engine_at(order.endpoint);
    if (!engine.resident.contains(order.adapter)) {
        end_attempt(attempt, attempt_result::refused_not_loaded);
        return;
    }
    if (order.from_token > 0 && !engine.known.contains(order.engine_id)) {
        end_attempt(attempt, attempt_result::failed);
        return;
    }
    if (order.from_token == 0) {
        ++engine.begun[order.engine_id];
        engine.known.insert(order.engine_id);
        runs.push_back(order);
    }
    engine.running[order.engine_id] = order.adapter;
    running_[order.id] = attempt;
    after(engine.token_time, [this, attempt] { step(attempt); });
}

void cluster::step(running_attempt attempt) {
    if (!is_current(attempt)) {
        return;
    }
    if (now_ >= attempt.order.deadline) {
        end_attempt(attempt, attempt_result::timed_out);
        return;
    }
    if (silence_left(attempt.order.endpoint) > duration(0)) {
        await_engine(attempt, &cluster::step);
        return;
    }
    fake_engine const& engine = engine_at(attempt.order.endpoint);
    ++attempt.tokens;
    attempt.longest_silence =
        std::max(attempt.longest_silence, now_ - attempt.heard);
    attempt.heard = now_;
    attempt.answered = true;
    later(
        attempt.node, net_delay,
        attempt_progress{
            attempt.order.id, attempt.order.attempt, attempt.tokens});
    if (attempt.tokens >= engine.tokens) {
        end_attempt(attempt, attempt_result::completed);
        return;
    }
    after(engine.token_time, [this, attempt] { step(attempt); });
}

void cluster::end_attempt(running_attempt const& attempt, attempt_result how) {
    // A refused attempt leaves a running one of the same request alone.
    auto const found = running_.find(attempt.order.id);
    if (found != running_.end() &&
        found->second.order.attempt == attempt.order.attempt) {
        engine_at(attempt.order.endpoint)
            .running.erase(attempt.order.engine_id);
        running_.erase(found);
    }
    attempt_ended end;
    end.id = attempt.order.id;
    end.attempt = attempt.order.attempt;
    end.how = how;
    end.tokens = attempt.tokens;
    end.answer = attempt.order.return_answer ? "answer" : "";
    end.trace.answered = attempt.answered;
    end.trace.silence = now_ - attempt.heard;
    end.trace.longest_silence =
        std::max(attempt.longest_silence, end.trace.silence);
    later(attempt.node, net_delay, end);
}

void cluster::on(std::size_t /*node*/, cancel_attempt const& action) {
    auto const found = running_.find(action.id);
    if (found != running_.end() &&
        found->second.order.attempt == action.attempt) {
        running_attempt const attempt = found->second;
        end_attempt(attempt, attempt_result::cancelled);
    }
}

void cluster::on(std::size_t /*node*/, finish_request const& action) {
    endings[action.id].push_back(action);
}

void cluster::on(std::size_t node, drain_finished const& /*action*/) {
    nodes[node].drained = true;
}

std::size_t cluster::owner_of(std::size_t engine) const {
    for (cluster_node const& each : nodes) {
        if (each.core == nullptr) {
            continue;
        }
        std::string const name = "replica/" + engines[engine].instance.id.str();
        for (owned_status const& owned : each.core->status(now_).owned) {
            if (owned.resource == name) {
                return index_of(each.instance.id);
            }
        }
    }
    FAIL("nobody owns the replica");
    return 0;
}

finish_request cluster::ended(std::string const& id) const {
    auto const found = endings.find(request_id(id));
    REQUIRE_MESSAGE(found != endings.end(), id << " has not ended");
    REQUIRE_MESSAGE(found->second.size() == 1, id << " has ended twice");
    return found->second.front();
}

std::size_t cluster::begun(std::string const& id) const {
    std::size_t times = 0;
    for (fake_engine const& each : engines) {
        auto const found = each.begun.find(request_id(id));
        times += found == each.begun.end() ? 0 : found->second;
    }
    return times;
}

} // namespace camphorpoint::test
