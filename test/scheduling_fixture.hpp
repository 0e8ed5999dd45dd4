#pragma once

#include <Camphorpoint/Scheduling>

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

namespace camphorpoint::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline adapter_ref adapter(std::string const& name, std::uint32_t version = 1) {
    return {adapter_id(name), version};
}

/// The scheduler of one replica in virtual time. The test plays the engine, the
/// entry nodes and the owner of the weight store.
class scheduler_fixture {
public:
    explicit scheduler_fixture(
        scheduler_settings const& settings = default_settings())
        : settings_(settings)
        , scheduler_(settings) {
        take_ownership(1);
    }

    /// Two adapter slots and a batch of two sequences.
    static scheduler_settings default_settings() {
        scheduler_settings settings;
        settings.replica = endpoint_id("r1");
        settings.adapter_slots = 2;
        settings.batch_limit = 2;
        return settings;
    }

    replica_scheduler<>& scheduler() { return scheduler_; }
    instant now() const { return now_; }

    /// Advances the time in steps of 20 ms, with a tick after each.
    void advance(milliseconds span) {
        constexpr milliseconds step{20};
        for (milliseconds passed{}; passed < span; passed += step) {
            now_ += step;
            scheduler_.on_tick(now_);
            collect();
        }
    }
    void
    take_ownership(std::uint64_t fencing, milliseconds lasts = seconds(3600)) {
        scheduler_.on_authority(log_offset{fencing}, now_ + lasts, now_);
        collect();
    }
    void request_grant(
        std::string const& request, adapter_ref const& which,
        urgency how_urgent = urgency::normal,
        milliseconds time_left = seconds(30), std::string const& node = "n1",
        std::uint32_t attempt = 0) {
        grant_request message;
        message.request = request_id(request);
        message.attempt = attempt;
        message.replica = settings_.replica;
        message.adapter = which;
        message.how_urgent = how_urgent;
        message.time_left = time_left;
        scheduler_.on_grant_request(node_id(node), message, now_);
        collect();
    }
    void release(std::string const& request, std::string const& node = "n1") {
        grant_released const message{
            request_id(request), 0, settings_.replica, 0, 50, true};
        scheduler_.on_grant_released(node_id(node), message, now_);
        collect();
    }
    void cancel_request(std::string const& request) {
        constexpr std::uint32_t any_attempt = 9;
        scheduler_.on_grant_cancelled(
            node_id("n1"),
            {request_id(request), any_attempt, settings_.replica}, now_);
        collect();
    }
    void heartbeat(
        std::vector<grant_in_use> const& grants,
        std::string const& node = "n1") {
        scheduler_.on_heartbeat(node_id(node), grants, now_);
        collect();
    }
    grant_in_use grant_entry(
        std::string const& request, adapter_ref const& which, bool sent) const {
        return {request_id(request), 0, settings_.replica, which, sent};
    }
    void report(
        std::vector<adapter_ref> const& resident,
        std::vector<adapter_ref> const& in_use = {},
        std::uint64_t incarnation = 1, milliseconds age = {}) {
        engine_report message;
        message.replica = settings_.replica;
        message.incarnation = incarnation;
        message.running = static_cast<std::uint32_t>(in_use.size());
        message.resident = resident;
        message.in_use = in_use;
        message.age = age;
        scheduler_.on_report(message, now_);
        collect();
    }
    void complete_command(engine_order const& command, order_result how) {
        scheduler_.on_command_result(command, how, now_);
        collect();
    }
    void permit_load(adapter_ref const& which, std::uint64_t permission = 1) {
        scheduler_.on_load_allowed(
            {settings_.replica, which, permission, milliseconds(500)}, now_);
        collect();
    }
    /// Permits the load of an adapter and reports its success.
    void load(adapter_ref const& which) {
        permit_load(which);
        engine_order const command = last<engine_order>();
        REQUIRE(command.kind == engine_order_kind::load);
        complete_command(command, order_result::done);
    }

    /// @returns all actions of a type since the last clear_actions()
    template <class Action>
    std::vector<Action> all() const {
        std::vector<Action> result;
        for (scheduler_action const& each : actions_) {
            if (auto const* matching = std::get_if<Action>(&each)) {
                result.push_back(*matching);
            }
        }
        return result;
    }
    template <class Action>
    Action last() const {
        std::vector<Action> const found = all<Action>();
        REQUIRE_FALSE(found.empty());
        return found.back();
    }
    /// @returns the ids of the granted requests, in order
    std::vector<std::string> granted() const {
        std::vector<std::string> result;
        for (reply_grant const& each : all<reply_grant>()) {
            result.push_back(each.message.request.str());
        }
        return result;
    }
    /// @returns why the request was refused; `none` if it was not refused
    reason refused(std::string const& request) const {
        for (reply_refusal const& each : all<reply_refusal>()) {
            if (each.message.request.str() == request) {
                return each.message.why;
            }
        }
        return reason::none;
    }
    std::vector<engine_order> commands(engine_order_kind kind) const {
        std::vector<engine_order> result = all<engine_order>();
        std::erase_if(result, [&](auto const& e) { return e.kind != kind; });
        return result;
    }
    void clear_actions() { actions_.clear(); }

private:
    void collect() {
        for (scheduler_action& each : scheduler_.take_actions()) {
            actions_.push_back(std::move(each));
        }
    }

    scheduler_settings settings_;
    replica_scheduler<> scheduler_;
    instant now_ = instant{} + std::chrono::hours(1);
    std::vector<scheduler_action> actions_;
};

using names = std::vector<std::string>;

} // namespace camphorpoint::test
