#pragma once

#include <Camphorpoint/ReplicaControl>

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

/// The tracker of one replica, with three slots by default and a loaded base
/// model, and the commands that it issues.
struct slot_tracker_fixture {
    explicit slot_tracker_fixture(unsigned slots = 3)
        : tracker({slots}, limiter) {
        report.models = {model_id("m")};
        tracker.apply_report(report, now);
        tracker.drain_changes();
    }
    void advance(milliseconds time) { now += time; }
    void request(adapter_ref const& what) {
        tracker.request_load(what, load_priority::demand, now);
    }
    replica_command
    expect_command(replica_command_kind kind, std::string const& name) {
        auto const command = tracker.next_command(now);
        REQUIRE(command);
        CHECK(command->kind == kind);
        CHECK(command->adapter.id == adapter(name).id);
        return *command;
    }
    /// Requests an adapter and completes its load.
    void load(std::string const& name) {
        request(adapter(name));
        auto const command =
            expect_command(replica_command_kind::load_adapter, name);
        tracker.on_result(command, command_result::accepted, now);
        advance(milliseconds(300));
        auto const check =
            expect_command(replica_command_kind::load_adapter, name);
        tracker.on_result(check, command_result::already_done, now);
        REQUIRE(tracker.ready(adapter(name)));
    }

    instant now = instant() + seconds(100);
    replica_report report;
    std::shared_ptr<load_limiter> limiter = std::make_shared<load_limiter>();
    slot_tracker tracker;
};

} // namespace camphorpoint::testing
