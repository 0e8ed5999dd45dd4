#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <numeric>
#include <string>
#include <unistd.h>
#include <vector>

namespace camphorpoint {

using standins::replica_fault;
using testing::gateway_fixture;
using testing::served_replica;

namespace {

constexpr std::chrono::seconds budget_window{2};

/// Enough for one resend in a window, and not for two.
void allow_one_resend(gateway_fixture& before) {
    before.settings.resends.ratio = 0;
    before.settings.resends.slack = 1.6;
    before.settings.resends.window = budget_window;
}

/// A node with a budget of one resend per window, in front of a plain service
/// with one replica.
class budget_fixture {
public:
    budget_fixture()
        : world_(allow_one_resend) {
        REQUIRE(world_.loop.run_until([this] { return world_.node->ready(); }));
        await_matured_credit();
    }

    /// Registers a second replica of the plain service.
    void add_replica() {
        other_ = std::make_unique<served_replica>(world_.loop, "p2", "", 0);
        world_.list(*other_, "app");
        REQUIRE(world_.loop.run_until(
            [this] { return world_.node->knows_replica(endpoint_id("p2")); }));
    }
    /// Sends a request whose answer is lost at each replica.
    /// @returns the number of its executions
    unsigned executions_of_lost(std::string const& id) {
        world_.plain.engine.faults = {replica_fault::answer_lost};
        other_->engine.faults = {replica_fault::answer_lost};
        world_.ask("/look/b", "", id);
        world_.plain.engine.faults.clear();
        other_->engine.faults.clear();
        return world_.runs(id) + other_->engine.runs[id];
    }

    gateway_fixture& world() { return world_; }

private:
    /// Credit is worth a whole resend when it has matured: the settling period
    /// of the partitions and two windows after the start.
    void await_matured_credit() {
        instant const until = boot_clock::now() + lease_times().settling +
                              2 * budget_window + std::chrono::seconds(1);
        world_.loop.run_until([until] { return boot_clock::now() >= until; });
    }

    gateway_fixture world_;
    std::unique_ptr<served_replica> other_;
};

} // namespace

TEST_CASE("a resend is charged to the budget when it is sent") {
    budget_fixture test;

    SUBCASE("one resend is made, and no further one in the window") {
        test.add_replica();
        CHECK(test.executions_of_lost("q1") == 2);
        CHECK(test.executions_of_lost("q2") == 1);
    }
    // Guards against refused requests that use up the budget while all replicas
    // of a service are full. Requests whose answer is lost need it.
    SUBCASE("a refused request without another replica is not charged") {
        for (int each = 0; each < 3; ++each) {
            test.world().plain.engine.faults = {replica_fault::full};
            auto const got =
                test.world().ask("/look/b", "", "q" + std::to_string(each));
            CHECK(got.response.status == 503);
        }
        test.add_replica();
        CHECK(test.executions_of_lost("lost") == 2);
    }
    // Guards against a double charge. A replica has crashed and is still in the
    // registry: a request that could not reach it would be charged a second
    // time for the next replica.
    SUBCASE(
        "an attempt that reaches no replica leaves its charge to the next") {
        test.add_replica();
        auto const gone =
            std::make_unique<served_replica>(test.world().loop, "p3", "", 0);
        test.world().list(*gone, "app");
        REQUIRE(test.world().loop.run_until([&] {
            return test.world().node->knows_replica(endpoint_id("p3"));
        }));
        gone->server.close();
        CHECK(test.executions_of_lost("lost") == 2);
    }
}

// Guards against more resends than allowed when nodes receive messages from too
// few others: a failure domain is cut off, or all nodes have just started.
TEST_CASE("nodes divide the slack of resends by their partitions") {
    constexpr instant now{std::chrono::hours(1)};
    lease_times const times;
    partition_leases leases(times);
    instant const settled = now + times.settling;

    SUBCASE("no partition is held, and no other node is known") {
        CHECK(leases.exclusive_partitions(settled) == 0);
    }
    SUBCASE("a third of the partitions is held, and no other node is known") {
        std::vector<std::size_t> third(partition_count / 3);
        std::iota(third.begin(), third.end(), 0);
        leases.on_renewal_granted(now, 1, third, now);
        CHECK(leases.exclusive_partitions(settled) == partition_count / 3);

        SUBCASE("the former holders may still use them for a while") {
            CHECK(leases.exclusive_partitions(now) == 0);
        }
        SUBCASE("the lease has expired") {
            CHECK(leases.exclusive_partitions(now + times.lease) == 0);
        }
        // Guards against a node that is cut off from the store alone, whose
        // partitions other nodes hold meanwhile.
        SUBCASE("the store does not answer this node") {
            leases.on_renewal_failed(settled);
            instant const later = now + times.lease;
            CHECK(leases.controls(0, later));
            CHECK(leases.exclusive_partitions(later) == 0);
        }
    }
    SUBCASE("a node that holds all partitions has all of the slack") {
        std::vector<std::size_t> every(partition_count);
        std::iota(every.begin(), every.end(), 0);
        leases.on_renewal_granted(now, 1, every, now);
        CHECK(leases.exclusive_partitions(settled) == partition_count);
    }
}

} // namespace camphorpoint
