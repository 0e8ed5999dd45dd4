#include "product_policy.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace camphorpoint::bench {

namespace {

using std::chrono::milliseconds;

/// Replicas that a request is tried on at once before it waits a while.
constexpr std::size_t most_tries = 4;

constexpr milliseconds pause_without_replica{100};

request_id id_of(std::size_t index) {
    return request_id(fmt::format("r{}", index));
}

} // namespace

void product_policy::arrived(std::size_t index) {
    std::uint32_t const node = world_.request(index).node;
    on_node(node, duration::zero(), [this, index] { ask(index); });
}

bool product_policy::is_current(
    std::size_t index, std::uint32_t attempt) const {
    return world_.record(index).state == request_state::waiting &&
           requests_[index].attempt == attempt;
}

void product_policy::ask(std::size_t index) {
    if (world_.record(index).state != request_state::waiting) {
        return;
    }
    entry_request& entry = requests_[index];
    trace_request const& from = world_.request(index);
    entry_node& node = nodes_[from.node];
    adapter_ref const adapter = ref(world_.record(index).adapter);
    urgency const how_urgent = world_.kind(index).how_urgent;
    if (!entry.counted) {
        node.choice->on_demand(adapter, world_.now());
        entry.counted = true;
    }
    auto const chosen = node.choice->choose(
        adapter, model_, how_urgent, from.prefix, entry.excluded, world_.now());
    if (!chosen) {
        retry(index, pause_without_replica);
        return;
    }
    entry.engine = engine_of(*chosen);
    entry.where = entry_request::phase::asked;
    ++entry.attempt;
    node.active.insert(index);
    world_.assign(index, entry.engine);
    grant_request message;
    message.request = id_of(index);
    message.attempt = entry.attempt;
    message.replica = *chosen;
    message.adapter = adapter;
    message.how_urgent = how_urgent;
    message.time_left = std::chrono::duration_cast<milliseconds>(
        world_.deadline(index) - world_.now());
    message.expected_tokens =
        static_cast<std::uint32_t>(world_.kind(index).mean_tokens);
    message.prefix_hash = from.prefix;

    on_owner(
        from.node, entry.engine,
        [this, message, node = from.node](auto& scheduler) {
            scheduler.on_grant_request(node_ids_[node], message, world_.now());
        });
}

void product_policy::leave(std::size_t index) {
    entry_request& entry = requests_[index];
    entry.where = entry_request::phase::idle;
    nodes_[world_.request(index).node].active.erase(index);
}

void product_policy::granted(std::size_t index, grant_issued const& message) {
    entry_request& entry = requests_[index];
    std::uint32_t const engine = engine_of(message.replica);
    std::uint32_t const node = world_.request(index).node;
    bool const wanted = is_current(index, message.attempt) &&
                        entry.where == entry_request::phase::asked;
    if (!wanted) {
        // The ask was taken back while the grant was on its way; the word of
        // that reaches the owner by itself.
        return;
    }
    nodes_[node].choice->on_feedback(
        message.replica, ref(world_.record(index).adapter), message.feedback,
        world_.now());
    entry.where = entry_request::phase::granted;
    entry.grant = message.grant;
    entry.sent = world_.now();
    world_.loop().after(
        engine_hop(node, engine), [this, index, attempt = entry.attempt] {
            reach_engine(index, attempt);
        });
}

void product_policy::reach_engine(std::size_t index, std::uint32_t attempt) {
    entry_request const& entry = requests_[index];
    bool const current = is_current(index, attempt) &&
                         entry.where == entry_request::phase::granted;
    if (!current) {
        return;
    }
    engine_model const& engine = world_.engine(entry.engine);
    if (engine.up() && engine.resident(world_.record(index).adapter)) {
        world_.enqueue(
            index, static_cast<std::uint32_t>(world_.kind(index).how_urgent));
        return;
    }
    requests_[index].excluded.push_back(engine_ids_[entry.engine]);
    release(index, 0, !engine.up());
    retry(index, duration::zero());
}

void product_policy::release(
    std::size_t index, std::uint32_t tokens, bool was_loaded) {
    entry_request const& entry = requests_[index];
    std::uint32_t const node = world_.request(index).node;
    grant_released message;
    message.request = id_of(index);
    message.attempt = entry.attempt;
    message.replica = engine_ids_[entry.engine];
    message.grant = entry.grant;
    message.tokens = tokens;
    message.adapter_was_loaded = was_loaded;
    leave(index);
    on_owner(node, entry.engine, [this, message, node](auto& scheduler) {
        scheduler.on_grant_released(node_ids_[node], message, world_.now());
    });
}

void product_policy::withdraw(std::size_t index) {
    entry_request const& entry = requests_[index];
    std::uint32_t const node = world_.request(index).node;
    grant_cancelled const message{
        id_of(index), entry.attempt, engine_ids_[entry.engine]};
    leave(index);
    on_owner(node, entry.engine, [this, message, node](auto& scheduler) {
        scheduler.on_grant_cancelled(node_ids_[node], message, world_.now());
    });
}

void product_policy::retry(std::size_t index, duration later) {
    on_node(world_.request(index).node, later, [this, index] { ask(index); });
}

void product_policy::refused(std::size_t index, grant_refused const& message) {
    entry_request& entry = requests_[index];
    bool const current = is_current(index, message.attempt) &&
                         entry.where == entry_request::phase::asked;
    if (!current) {
        return;
    }
    nodes_[world_.request(index).node].choice->on_feedback(
        message.replica, ref(world_.record(index).adapter), message.feedback,
        world_.now());
    leave(index);

    entry.excluded.push_back(message.replica);
    if (entry.excluded.size() < most_tries) {
        retry(index, duration::zero());
        return;
    }
    bool const may_come_back =
        message.retry_after > milliseconds::zero() &&
        world_.now() + message.retry_after < world_.deadline(index);
    if (may_come_back) {
        entry.excluded.clear();
        retry(index, message.retry_after);
        return;
    }
    world_.refuse(index, message.why);
}

void product_policy::finished(std::size_t index) {
    std::uint32_t const node = world_.request(index).node;
    requests_[index].excluded.clear();
    // The entry node sees the stream's end one hop after the engine.
    on_node(
        node, engine_hop(node, requests_[index].engine), [this, index, node] {
            nodes_[node].choice->on_served(
                world_.now() - requests_[index].sent);
            release(index, world_.request(index).tokens, true);
        });
}

void product_policy::expired(std::size_t index) {
    entry_request const& entry = requests_[index];
    if (entry.where == entry_request::phase::asked) {
        withdraw(index);
    } else if (entry.where == entry_request::phase::granted) {
        release(index, 0, true);
    }
}

void product_policy::leave_engine(std::uint32_t engine) {
    for (entry_node& node : nodes_) {
        std::vector<std::size_t> const active(
            node.active.begin(), node.active.end());
        for (std::size_t const index : active) {
            entry_request const& entry = requests_[index];
            if (entry.engine != engine) {
                continue;
            }
            bool const asked = entry.where == entry_request::phase::asked;
            if (asked) {
                withdraw(index);
                retry(index, duration::zero());
            } else if (!world_.engine(engine).up()) {
                // The stream broke; the world brings the request back.
                release(index, 0, true);
            }
        }
    }
}

} // namespace camphorpoint::bench
