#include "key_simulation.hpp"

#include <doctest/doctest.h>

#include <array>
#include <iostream>
#include <rapidcheck.h>
#include <set>

namespace camphorpoint::test {

namespace {

using std::chrono::milliseconds;

/// Kinds of steps in a random scenario.
enum class step_kind : std::uint8_t {
    deliver_one,
    deliver_all,
    lose_one,
    repeat_one,
    submit,
    start,
    return_permission,
    end,
    withdraw,
    new_key,
    time_passes,
    renew,
    take_over,
    hand_over,
    pause_or_resume,
    crash,
    read_log,
    set_stale_owner
};

/// One step, with numbers that select the nodes, keys and messages it applies
/// to.
struct step {
    step_kind kind = step_kind::deliver_one;
    std::uint8_t first = 0;
    std::uint8_t second = 0;
    std::uint16_t amount = 0;
};

std::ostream& operator<<(std::ostream& out, step const& each) {
    return out << "{" << int(each.kind) << "," << int(each.first) << ","
               << int(each.second) << "," << each.amount << "}";
}

/// Applies random steps. After each step it checks that no booking was executed
/// twice, that none was refused after an execution, and that only answers of
/// completed executions were returned.
class scenario {
public:
    scenario() {
        world_.count_run_on_grant = false;
        world_.announce_on_claim = false;
        // The maximum permitted difference between the clocks.
        world_.add("a", milliseconds(250));
        world_.add("b", milliseconds(-250));
        world_.add("c");
        world_.claim("a");
        world_.announce_owner();
        world_.advance_and_deliver(milliseconds(2'200));
        world_.renew();
        for (idempotency_key& key : keys_) {
            key = world_.make_key();
        }
    }

    void apply(step const& each) {
        node_id const name = names_[each.first % names_.size()];
        std::string const& node = name.str();
        std::size_t const index =
            world_.message_queue.empty()
                ? 0
                : each.amount % world_.message_queue.size();
        switch (each.kind) {
        case step_kind::deliver_one:
            if (!world_.message_queue.empty()) {
                world_.deliver_one(index);
            }
            break;
        case step_kind::lose_one:
            if (!world_.message_queue.empty()) {
                world_.message_queue.erase(
                    world_.message_queue.begin() +
                    static_cast<std::ptrdiff_t>(index));
            }
            break;
        case step_kind::repeat_one:
            if (!world_.message_queue.empty()) {
                world_.message_queue.push_back(world_.message_queue[index]);
            }
            break;
        case step_kind::submit:
            submit(node, each);
            break;
        case step_kind::time_passes:
            world_.advance(milliseconds(each.amount % 2'000));
            break;
        case step_kind::start:
            start(each);
            break;
        case step_kind::return_permission:
            return_permission(each);
            break;
        case step_kind::end:
            end(each);
            break;
        case step_kind::take_over:
            if (!world_.at(node).paused) {
                world_.claim(node);
            }
            break;
        case step_kind::hand_over:
            hand_over(node, each.second % 4 != 0);
            break;
        case step_kind::pause_or_resume:
            world_.at(node).paused = !world_.at(node).paused;
            break;
        case step_kind::crash:
            crash(node);
            break;
        case step_kind::read_log:
            if (!world_.at(node).paused) {
                world_.learn_owner(node);
            }
            break;
        case step_kind::set_stale_owner:
            // The entry node has a stale view of the owner: it sends requests
            // to a node that no longer owns the shard, or does not own it yet.
            world_.at(node).entry->on_owner_changed(
                key_simulation::shard, names_[each.second % names_.size()]);
            break;
        case step_kind::renew:
            world_.renew();
            break;
        case step_kind::withdraw:
            withdraw(each);
            break;
        case step_kind::new_key:
            keys_[each.second % keys_.size()] =
                world_.make_key(milliseconds(each.amount % 3'200 - 2'000));
            break;
        case step_kind::deliver_all:
            world_.deliver();
            break;
        }
        check();
    }

    std::uint32_t runs() const {
        std::uint32_t all = 0;
        for (auto const& [key, count] : world_.runs) {
            all += count;
        }
        return all;
    }

private:
    void submit(std::string const& node, step const& each) {
        std::string const id = "r" + std::to_string(++request_count_);
        idempotency_key const& key = keys_[each.second % keys_.size()];
        entry_of_request_[request_id(id)] = node;
        world_.submit(node, id, key, false, 1, milliseconds(15'000));
    }
    void start(step const& each) {
        if (!world_.grants.empty()) {
            auto const grant = pop_grant(each);
            ++world_.runs[grant.key];
            running_.push_back(grant);
        }
    }
    void return_permission(step const& each) {
        if (!world_.grants.empty()) {
            auto const grant = pop_grant(each);
            world_.end(
                grant.entry.str(), grant.request.str(), outcome::not_run);
        }
    }
    void end(step const& each) {
        if (running_.empty()) {
            return;
        }
        auto const index = each.amount % running_.size();
        auto const ended = running_[index];
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
        bool const done = each.second % 4 != 0;
        if (done) {
            done_.insert(ended.key);
        }
        world_.end(
            ended.entry.str(), ended.request.str(),
            done ? outcome::done : outcome::unknown, ended.key.str());
    }
    void hand_over(std::string const& to, bool parts_arrive) {
        std::string const from = world_.holder_->str();
        if (from == to || world_.at(to).paused || world_.at(from).paused) {
            return;
        }
        world_.hand_over(from, to);
        if (parts_arrive) {
            world_.deliver();
        }
        world_.claim(to, true);
    }
    void crash(std::string const& node) {
        world_.kill(node);
        world_.at(node).dead = false;
        world_.at(node).paused = false;
        auto const here = [&node](auto const& each) {
            return each.entry.str() == node;
        };
        std::erase_if(world_.grants, here);
        std::erase_if(running_, here);
        world_.learn_owner(node);
    }
    void withdraw(step const& each) {
        request_id const id(
            "r" + std::to_string(each.amount % (request_count_ + 1)));
        auto const found = entry_of_request_.find(id);
        if (found != entry_of_request_.end()) {
            auto& node = world_.at(found->second);
            node.entry->withdraw(id, world_.clock(node));
        }
    }
    key_simulation::grant pop_grant(step const& each) {
        auto const index = each.amount % world_.grants.size();
        auto grant = world_.grants[index];
        world_.grants.erase(
            world_.grants.begin() + static_cast<std::ptrdiff_t>(index));
        return grant;
    }
    void check() {
        for (auto const& [key, count] : world_.runs) {
            RC_ASSERT(count <= 1U);
        }
        for (auto const& [id, decision] : world_.decisions) {
            if (!checked_.insert(id).second) {
                continue;
            }
            idempotency_key const& key = world_.keys_.at(id);
            if (decision.verdict == key_verdict::refused) {
                RC_ASSERT(world_.runs_of(key) == 0U);
            }
            if (decision.verdict == key_verdict::answer) {
                RC_ASSERT(done_.contains(key));
                RC_ASSERT(decision.answer == key.str());
            }
        }
    }

    key_simulation world_;
    std::array<node_id, 3> names_{node_id("a"), node_id("b"), node_id("c")};
    std::array<idempotency_key, 3> keys_;
    std::uint32_t request_count_ = 0;
    std::map<request_id, std::string> entry_of_request_;
    std::vector<key_simulation::grant> running_;
    std::set<idempotency_key> done_;
    std::set<request_id> checked_;
};

} // namespace

} // namespace camphorpoint::test

template <>
struct rc::Arbitrary<camphorpoint::test::step> {
    static Gen<camphorpoint::test::step_kind> kinds() {
        using enum camphorpoint::test::step_kind;
        return gen::weightedElement<camphorpoint::test::step_kind>(
            {{8, deliver_one},
             {4, deliver_all},
             {1, lose_one},
             {2, repeat_one},
             {6, submit},
             {4, start},
             {1, return_permission},
             {2, end},
             {1, withdraw},
             {3, new_key},
             {3, time_passes},
             {4, renew},
             {1, take_over},
             {1, hand_over},
             {1, pause_or_resume},
             {1, crash},
             {4, read_log},
             {1, set_stale_owner}});
    }
    static Gen<camphorpoint::test::step> arbitrary() {
        using camphorpoint::test::step;
        return gen::build<step>(
            gen::set(&step::kind, kinds()),
            gen::set(&step::first, gen::inRange<std::uint8_t>(0, 12)),
            gen::set(&step::second, gen::inRange<std::uint8_t>(0, 12)),
            gen::set(&step::amount, gen::inRange<std::uint16_t>(0, 9'999)));
    }
};

namespace camphorpoint::test {

// Guards against repeated execution in arbitrary sequences of faults. Callers
// repeat bookings through several entry nodes while owners pause, crash, hand
// over and are succeeded, messages are lost, delayed, duplicated and reordered,
// and clocks differ by the maximum permitted. No booking may be executed twice,
// none that was executed may be reported as not run, and no answer may be
// returned that was not received.
TEST_CASE("no booking runs twice under any sequence of faults") {
    rc::detail::TestMetadata metadata;
    metadata.id = "keys";
    rc::detail::TestParams params;
    params.seed = 20'261'202;
    params.maxSuccess = 2'500;
    params.maxSize = 200;
    std::uint64_t runs = 0;
    auto const result = rc::detail::checkTestable(
        [&runs] {
            scenario simulated;
            auto const count = *rc::gen::inRange<std::size_t>(20, 200);
            auto const steps = *rc::gen::container<std::vector<step>>(
                count, rc::gen::arbitrary<step>());
            for (step const& each : steps) {
                simulated.apply(each);
            }
            runs += simulated.runs();
        },
        metadata, params);
    if (!result.is<rc::detail::SuccessResult>()) {
        rc::detail::printResultMessage(result, std::cerr);
    }
    CHECK(result.is<rc::detail::SuccessResult>());
    // The property is only meaningful if bookings are executed.
    CHECK(runs > 1'500);
}

} // namespace camphorpoint::test
