#pragma once

#include <Camphorpoint/Keys>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace camphorpoint::test {

/// Simulates a few nodes that share one key shard. Tests deliver, lose, repeat
/// or delay the messages. Counts the executions of the work under each key.
class key_simulation {
public:
    using message = std::variant<
        key_permission_request, key_reply, key_completion, key_completion_ack,
        key_heartbeat, key_handover>;
    struct queued_message {
        node_id from;
        node_id to;
        message content;
    };
    struct node {
        std::optional<key_owner> owner;
        std::optional<entry_key_tracker> entry;
        instant authority_until{};
        std::chrono::milliseconds skew{};
        bool paused = false;
        bool dead = false;
    };
    struct grant {
        node_id entry;
        request_id request;
        idempotency_key key;
    };

    explicit key_simulation(key_settings settings = {})
        : settings_(settings) {}

    node& add(std::string const& name, std::chrono::milliseconds skew = {}) {
        node& node_added = nodes_[node_id(name)];
        node_added.owner.emplace(settings_);
        node_added.entry.emplace(entry_settings_);
        node_added.skew = skew;
        return node_added;
    }
    node& at(std::string const& name) { return nodes_.at(node_id(name)); }
    clock_reading clock(node const& each) const { return clock(each.skew); }
    clock_reading clock(std::chrono::milliseconds skew) const {
        auto const passed =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now_.time_since_epoch());
        return {start_ + passed + skew, now_};
    }
    wall_time wall() const { return clock(std::chrono::milliseconds(0)).wall; }

    /// Generates a key in the fixed shard, with the present time plus an
    /// offset.
    idempotency_key make_key(std::chrono::milliseconds offset = {}) {
        idempotency_key key;
        do {
            key = generate_key(wall() + offset, random_);
        } while (key_shard_of(key) != shard);
        return key;
    }

    /// Advances time in steps. Nodes that are neither paused nor crashed
    /// receive a tick in each step.
    void advance(std::chrono::milliseconds time) {
        constexpr std::chrono::milliseconds step{100};
        while (time.count() > 0) {
            auto const part = std::min(step, time);
            now_ += part;
            time -= part;
            for (auto& [name, each] : nodes_) {
                if (!each.paused && !each.dead) {
                    each.owner->tick(clock(each));
                    each.entry->tick(clock(each));
                }
            }
            collect();
        }
    }
    /// Advances time, and delivers the queued messages before each step.
    void advance_and_deliver(std::chrono::milliseconds time) {
        constexpr std::chrono::milliseconds step{100};
        for (; time.count() > 0; time -= step) {
            deliver();
            advance(std::min(step, time));
        }
        deliver();
    }

    /// Makes a node's claim effective. Unless the shard was handed over, time
    /// first advances to the end of the previous owner's authority.
    void claim(std::string const& name, bool handed_over = false) {
        node& new_owner = at(name);
        if (holder_ && !handed_over) {
            now_ = std::max(now_, nodes_.at(*holder_).authority_until);
        }
        key_claim claim;
        claim.fencing = log_offset{++fencing_};
        if (fencing_ > 1) {
            claim.previous = log_offset{fencing_ - 1};
        }
        claim.handed_over = handed_over;
        holder_ = node_id(name);
        new_owner.owner->on_shard_gained(shard, claim, clock(new_owner));
        new_owner.authority_until = now_ + authority;
        if (announce_on_claim) {
            announce_owner();
        } else {
            learn_owner(name);
        }
    }
    /// A node reads the log, and learns which node owns the shard.
    void learn_owner(std::string const& name) {
        node& each = at(name);
        each.entry->on_owner_changed(shard, *holder_);
        if (node_id(name) != *holder_) {
            each.owner->on_shard_lost(shard);
        }
    }
    /// Extends the owner's authority, as its reads of the log do.
    void renew() {
        if (holder_ && !nodes_.at(*holder_).paused) {
            nodes_.at(*holder_).authority_until = now_ + authority;
        }
    }
    /// All nodes that are not paused learn which node owns the shard.
    void announce_owner() {
        for (auto& [name, each] : nodes_) {
            if (!each.paused) {
                learn_owner(name.str());
            }
        }
    }
    /// A planned handover up to the release. The successor's claim must follow.
    void hand_over(std::string const& from, std::string const& to) {
        at(from).owner->hand_over(shard, node_id(to));
        at(from).authority_until = {};
        collect();
    }
    void kill(std::string const& name) {
        node& each = at(name);
        each.owner.emplace(settings_);
        each.entry.emplace(entry_settings_);
        each.dead = true;
    }

    /// A caller submits a request at an entry node. The decision on it is
    /// stored in `decisions`.
    void submit(
        std::string const& entry, std::string const& request,
        idempotency_key const& key, bool idempotent = false,
        std::uint64_t digest = 1,
        std::chrono::milliseconds time = std::chrono::seconds(30)) {
        keyed_request keyed{
            request_id(request), key, digest, idempotent, now_ + time};
        keys_[keyed.id] = key;
        node& each = at(entry);
        each.entry->request_permission(keyed, clock(each));
        collect();
    }
    void
    end(std::string const& entry, std::string const& request, outcome how,
        std::string const& answer = {}) {
        node& each = at(entry);
        each.entry->complete(
            request_id(request), how, reason::none, answer, clock(each));
        collect();
    }

    /// Delivers all queued messages, and those that are sent in response.
    /// Messages to a paused node stay queued; messages to a crashed node are
    /// lost.
    void deliver() {
        for (std::size_t index = 0; index < message_queue.size();) {
            index = deliver_one(index) ? 0 : index + 1;
        }
    }
    bool deliver_one(std::size_t index) {
        node& to = nodes_.at(message_queue[index].to);
        if (to.paused) {
            return false;
        }
        queued_message const received = message_queue[index];
        message_queue.erase(
            message_queue.begin() + static_cast<std::ptrdiff_t>(index));
        if (!to.dead) {
            receive(to, received);
            collect();
        }
        return true;
    }
    /// Removes all queued messages of a type.
    /// @returns the number of removed messages
    template <class Message>
    std::size_t lose() {
        return std::erase_if(message_queue, [](queued_message const& each) {
            return std::holds_alternative<Message>(each.content);
        });
    }

    key_decision const& decision_of(std::string const& request) const {
        return decisions.at(request_id(request));
    }
    bool has_decision(std::string const& request) const {
        return decisions.contains(request_id(request));
    }
    std::uint32_t runs_of(idempotency_key const& key) { return runs[key]; }

    static constexpr key_shard shard = 7;
    static constexpr std::chrono::milliseconds authority{3'000};
    std::vector<queued_message> message_queue;
    std::map<request_id, key_decision> decisions;
    /// Requests that were permitted to run, in order.
    std::vector<grant> grants;
    std::map<idempotency_key, std::uint32_t> runs;
    /// False when the test itself counts the executions, since it decides when
    /// a permission is used.
    bool count_run_on_grant = true;
    /// False when the test itself decides which nodes learn of a claim.
    bool announce_on_claim = true;
    std::uint32_t clock_warnings = 0;
    std::map<request_id, idempotency_key> keys_;
    std::optional<node_id> holder_;
    instant now_{std::chrono::hours(1)};

private:
    void receive(node& to, queued_message const& received) {
        clock_reading const time = clock(to);
        if (auto const* request =
                std::get_if<key_permission_request>(&received.content)) {
            to.owner->on_permission_request(
                received.from, *request, to.authority_until, time);
        } else if (
            auto const* reply = std::get_if<key_reply>(&received.content)) {
            to.entry->on_reply(*reply, time);
        } else if (
            auto const* completion =
                std::get_if<key_completion>(&received.content)) {
            to.owner->on_completion(
                received.from, *completion, to.authority_until, time);
        } else if (
            auto const* ack =
                std::get_if<key_completion_ack>(&received.content)) {
            to.entry->on_completion_ack(*ack);
        } else if (
            auto const* heartbeat =
                std::get_if<key_heartbeat>(&received.content)) {
            to.owner->on_heartbeat(received.from, *heartbeat, time);
        } else if (
            auto const* part = std::get_if<key_handover>(&received.content)) {
            to.owner->on_handover(*part, time);
        }
    }
    void collect() {
        for (auto& [name, each] : nodes_) {
            dispatch(name, each.owner->take_actions());
            dispatch(name, each.entry->take_actions());
        }
    }
    void dispatch(node_id const& from, std::vector<key_action> const& actions) {
        for (key_action const& each : actions) {
            if (auto const* send = std::get_if<key_send>(&each)) {
                message_queue.push_back({from, send->to, send->message});
            } else if (
                auto const* decision = std::get_if<key_decision>(&each)) {
                on_decision(from, *decision);
            } else {
                ++clock_warnings;
            }
        }
    }
    void on_decision(node_id const& entry, key_decision const& decision) {
        decisions[decision.request] = decision;
        if (decision.verdict == key_verdict::run) {
            idempotency_key const& key = keys_.at(decision.request);
            grants.push_back({entry, decision.request, key});
            runs[key] += count_run_on_grant ? 1 : 0;
        }
    }

    key_settings settings_;
    entry_key_settings entry_settings_;
    std::map<node_id, node> nodes_;
    std::mt19937_64 random_{42};
    std::uint64_t fencing_ = 0;
    wall_time start_{std::chrono::hours(24 * 365 * 50)};
};

} // namespace camphorpoint::test
