#include "capacity_line.hpp"
#include "capacity_parts.hpp"

#include <Camphorpoint/Keys>
#include <Camphorpoint/Loading>
#include <Camphorpoint/Scheduling>

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace camphorpoint::bench {

namespace {

using std::chrono::hours;
using std::chrono::microseconds;

constexpr std::uint32_t slots = 32;
constexpr std::uint32_t batch_limit = 32;
constexpr std::uint32_t nodes = 1'900;

/// One replica's owner, with a full batch and a queue of one length.
class owner_under_load {
public:
    explicit owner_under_load(std::uint32_t queue)
        : scheduler_(settings(queue)) {
        scheduler_.on_authority({1}, now_ + hours(24), now_);
        engine_report report;
        report.replica = endpoint_id("engine-00001");
        report.incarnation = 1;
        for (std::uint32_t at = 0; at < slots; ++at) {
            adapters_.push_back(
                {adapter_id(fmt::format("tenant-{:05}-lora", at)), 1});
            report.resident.push_back(adapters_.back());
        }
        scheduler_.on_report(report, now_);
        for (std::uint32_t at = 0; at < batch_limit + queue; ++at) {
            ask();
        }
        collect();
    }

    /// One request comes, one ends, and one that waited is granted.
    void turn() {
        now_ += microseconds(100);
        ask();
        release();
        collect();
    }

    /// Time passes without a message.
    void tick() {
        now_ += std::chrono::milliseconds(20);
        scheduler_.on_tick(now_);
        scheduler_.take_actions();
    }

private:
    static scheduler_settings settings(std::uint32_t queue) {
        scheduler_settings result;
        result.replica = endpoint_id("engine-00001");
        result.adapter_slots = slots;
        result.batch_limit = batch_limit;
        result.queue_limit = queue + batch_limit + 1;
        return result;
    }

    void ask() {
        grant_request message;
        message.request = request_id(fmt::format("request-{:012}", next_));
        message.attempt = 3;
        message.replica = endpoint_id("engine-00001");
        message.adapter = adapters_[next_ % slots];
        message.time_left = std::chrono::minutes(10);
        message.expected_tokens = 1;
        scheduler_.on_grant_request(
            node_id(fmt::format("node-{}", next_ % nodes)), message, now_);
        ++next_;
    }

    void release() {
        if (running_.empty()) {
            return;
        }
        reply_grant const& oldest = running_.front();
        grant_released message;
        message.request = oldest.message.request;
        message.attempt = oldest.message.attempt;
        message.replica = oldest.message.replica;
        message.grant = oldest.message.grant;
        message.tokens = 1;
        scheduler_.on_grant_released(oldest.to, message, now_);
        running_.pop_front();
    }

    void collect() {
        for (scheduler_action& each : scheduler_.take_actions()) {
            if (auto* const grant = std::get_if<reply_grant>(&each)) {
                running_.push_back(std::move(*grant));
            }
        }
    }

    std::vector<adapter_ref> adapters_;
    replica_scheduler<> scheduler_;
    std::deque<reply_grant> running_;
    std::uint64_t next_ = 0;
    instant now_ = instant{} + hours(1);
};

capacity_cost schedule_cost(std::uint32_t queue) {
    constexpr int turns = 5'000;
    owner_under_load subject(queue);
    capacity_meter const meter;
    for (int at = 0; at < turns; ++at) {
        subject.turn();
    }
    return meter.read(turns);
}

capacity_cost schedule_memory(std::uint32_t queue) {
    capacity_meter const meter;
    owner_under_load const subject(queue);
    return meter.read(1);
}

capacity_cost schedule_tick(std::uint32_t queue) {
    constexpr int ticks = 2'000;
    owner_under_load subject(queue);
    capacity_meter const meter;
    for (int at = 0; at < ticks; ++at) {
        subject.tick();
    }
    return meter.read(ticks);
}

/// Books keys and finishes them with an answer, as one shard's owner.
class key_rig {
public:
    explicit key_rig(std::uint32_t keys)
        : owner_(settings(keys))
        , random_(7) {
        key_claim claim;
        claim.fencing = {1};
        claim.first = true;
        owner_.on_shard_gained(shard, claim, clock_);
    }

    void book(std::uint32_t count, std::size_t answer_bytes) {
        for (std::uint32_t at = 0; at < count; ++at) {
            clock_.wall += std::chrono::milliseconds(1);
            clock_.now += microseconds(1'000);
            book_one(answer_bytes);
        }
    }

    std::size_t records() const { return owner_.records(); }

private:
    static constexpr key_shard shard = 0;

    static key_settings settings(std::uint32_t keys) {
        key_settings result;
        result.most_records = keys + 10'000;
        result.most_answer_bytes = std::size_t{1} << 30U;
        return result;
    }

    void book_one(std::size_t answer_bytes) {
        key_permission_request ask;
        ask.request = request_id(fmt::format("request-{:012}", next_));
        ask.attempt = 1;
        ask.key = generate_key(clock_.wall, random_);
        ask.body_digest = next_;
        ask.shard = shard;
        ask.time_left = std::chrono::seconds(30);
        ask.sent = clock_.wall;
        node_id const from(fmt::format("node-{}", next_++ % nodes));
        instant const until = clock_.now + std::chrono::seconds(5);
        owner_.on_permission_request(from, ask, until, clock_);
        key_completion end;
        end.request = ask.request;
        end.attempt = ask.attempt;
        end.key = ask.key;
        end.body_digest = ask.body_digest;
        end.shard = shard;
        end.how = outcome::done;
        end.answer.assign(answer_bytes, 'a');
        note_permission(end);
        owner_.on_completion(from, end, until, clock_);
        owner_.take_actions();
    }

    void note_permission(key_completion& end) {
        for (key_action const& each : owner_.take_actions()) {
            auto const* const send = std::get_if<key_send>(&each);
            auto const* const reply =
                send == nullptr ? nullptr
                                : std::get_if<key_reply>(&send->message);
            if (reply != nullptr) {
                end.permission = reply->permission;
                end.fencing = reply->fencing;
            }
        }
    }

    key_owner owner_;
    std::mt19937_64 random_;
    clock_reading clock_{
        wall_time(std::chrono::milliseconds(1'764'000'000'000)),
        instant(hours(1))};
    std::uint64_t next_ = 0;
};

capacity_cost key_memory_cost(std::uint32_t keys) {
    constexpr std::size_t no_answer = 0;
    capacity_meter const meter;
    key_rig subject(keys);
    subject.book(keys, no_answer);
    return meter.read(1);
}

capacity_cost key_cost(std::uint32_t keys) {
    constexpr std::uint32_t count = 5'000;
    key_rig subject(keys);
    subject.book(keys, 0);
    capacity_meter const meter;
    subject.book(count, 0);
    return meter.read(count);
}

adapter_ref make_adapter(std::uint32_t number) {
    return {adapter_id(fmt::format("tenant-{:05}-lora", number)), 1};
}

load_request make_want(std::uint32_t number) {
    load_request result;
    result.replica = endpoint_id(fmt::format("engine-{:05}", number));
    result.adapter = make_adapter(number);
    result.waiting = 1;
    return result;
}

/// A repeated ask, while so many wants wait and the budget gives out loads.
capacity_cost budget_cost(std::uint32_t wants) {
    store_limits limits;
    limits.loads_per_second = 1;
    store_budget subject(limits);
    instant now{hours(1)};
    subject.on_authority({1}, now + hours(24), now);
    for (std::uint32_t at = 0; at < wants; ++at) {
        subject.on_load_request(node_id("node-1000"), make_want(at), now);
    }
    subject.take_actions();
    constexpr std::uint32_t asks = 2'000;
    capacity_meter const meter;
    for (std::uint32_t at = 0; at < asks; ++at) {
        now += microseconds(100);
        subject.on_load_request(
            node_id("node-1000"), make_want(at % std::max(wants, 1U)), now);
        subject.take_actions();
    }
    return meter.read(asks);
}

/// One load ends, the next is chosen among so many wants, and one comes.
capacity_cost budget_turn(std::uint32_t wants) {
    store_limits limits;
    constexpr double a_hundred = 100;
    limits.loads_per_second = a_hundred;
    limits.concurrency = 1;
    store_budget subject(limits);
    instant now{hours(1)};
    subject.on_authority({1}, now + hours(24), now);
    // A new owner's first window counts as used up.
    now += std::chrono::milliseconds(1'500);
    for (std::uint32_t at = 0; at <= wants; ++at) {
        subject.on_load_request(node_id("node-1000"), make_want(at), now);
    }
    constexpr std::uint32_t turns = 2'000;
    std::uint32_t allowed = 0;
    capacity_meter const meter;
    for (std::uint32_t at = 0; at < turns; ++at) {
        now += std::chrono::milliseconds(20);
        for (budget_action const& each : subject.take_actions()) {
            auto const* const send = std::get_if<send_load_allowed>(&each);
            if (send == nullptr) {
                continue;
            }
            ++allowed;
            load_allowed const& given = send->message;
            load_result end;
            end.replica = given.replica;
            end.adapter = given.adapter;
            end.permission = given.permission;
            end.ok = true;
            subject.on_load_result(node_id("node-1000"), end, now);
            break;
        }
        subject.on_load_request(
            node_id("node-1000"), make_want(wants + 1 + at), now);
    }
    capacity_cost const cost = meter.read(turns);
    // A rig that gave no permissions would measure something else.
    return allowed + 1 >= turns ? cost : capacity_cost{-1, -1, -1};
}

capacity_cost budget_memory(std::uint32_t wants) {
    capacity_meter const meter;
    store_budget subject(store_limits{});
    instant const now{hours(1)};
    subject.on_authority({1}, now + hours(24), now);
    for (std::uint32_t at = 0; at < wants; ++at) {
        subject.on_load_request(node_id("node-1000"), make_want(at), now);
    }
    subject.take_actions();
    return meter.read(1);
}

void print_owner_lines() {
    std::vector<std::uint32_t> const queues{0, 16, 64, 256};
    print_lines("replica-request", cost_figures::time, queues, schedule_cost);
    print_lines("replica-tick", cost_figures::time, queues, schedule_tick);
    print_lines(
        "replica-waiting", cost_figures::memory, queues, schedule_memory);
    std::vector<std::uint32_t> const wants{50, 100, 200, 400};
    print_lines("store-ask", cost_figures::time, wants, budget_cost);
    print_lines("store-turn", cost_figures::time, wants, budget_turn);
    print_lines("store-want", cost_figures::memory, wants, budget_memory);
    std::vector<std::uint32_t> const keys{12'500, 25'000, 50'000, 100'000};
    print_lines("key-booking", cost_figures::time, keys, key_cost);
    print_lines("key-record", cost_figures::memory, keys, key_memory_cost);
}

} // namespace

void print_work_capacity() {
    print_owner_lines();
}

} // namespace camphorpoint::bench
