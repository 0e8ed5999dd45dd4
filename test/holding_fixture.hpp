#pragma once

#include <Camphorpoint/Holding>

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>

namespace camphorpoint::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline adapter_ref adapter(std::string const& name, std::uint32_t version = 0) {
    return {adapter_id("m/" + name), version};
}

/// A replica's account, with three slots if not said otherwise, and the orders
/// that it gives.
struct account_world {
    explicit account_world(unsigned slots = 3)
        : account({slots}, pace) {
        report.models = {model_id("m")};
        account.reported(report, now);
        account.take_changes();
    }
    void pass(milliseconds time) { now += time; }
    void want(adapter_ref const& what) {
        account.want(what, want_kind::waited_for, now);
    }
    slot_order expect_order(slot_order_kind kind, std::string const& name) {
        auto const order = account.next(now);
        REQUIRE(order);
        CHECK(order->kind == kind);
        CHECK(order->adapter.id == adapter(name).id);
        return *order;
    }
    /// Loads an adapter whole.
    void load(std::string const& name) {
        want(adapter(name));
        auto const order = expect_order(slot_order_kind::load_adapter, name);
        account.answered(order, slot_answer::accepted, now);
        pass(milliseconds(300));
        auto const check = expect_order(slot_order_kind::load_adapter, name);
        account.answered(check, slot_answer::holds, now);
        REQUIRE(account.ready(adapter(name)));
    }

    instant now = instant() + seconds(100);
    replica_report report;
    std::shared_ptr<load_pace> pace = std::make_shared<load_pace>();
    slot_account account;
};

} // namespace camphorpoint::testing
