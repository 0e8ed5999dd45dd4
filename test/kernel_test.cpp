#include <Camphorpoint/Kernel>

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace camphorpoint {

namespace {

struct recorded_service {
    std::string name;
    std::vector<std::string>* record;
    bool fails = false;

    start_result start() {
        if (fails) {
            return start_error{"address in use"};
        }
        record->push_back("start " + name);
        return boost::outcome_v2::success();
    }
    void stop() { record->push_back("stop " + name); }
};

using lines = std::vector<std::string>;

} // namespace

TEST_CASE("services start in the order of what they need") {
    lines record;
    recorded_service callers{"callers", &record};
    recorded_service metrics{"metrics", &record};
    recorded_service log{"log", &record};
    service_name const callers_name("callers");
    service_name const metrics_name("metrics");
    service_name const log_name("log");
    service_registry services;
    services.add(callers_name, {log_name, metrics_name}, callers);
    services.add(log_name, {metrics_name}, log);
    services.add(metrics_name, {}, metrics);
    kernel runner(services);
    findings problems;

    SUBCASE("and stop in reverse") {
        REQUIRE(runner.start(problems));
        runner.stop();
        CHECK(
            record == lines{
                          "start metrics", "start log", "start callers",
                          "stop callers", "stop log", "stop metrics"});
    }

    SUBCASE("a service is found by its name and type") {
        CHECK(services.find<recorded_service>(log_name) == &log);
        CHECK(services.find<std::string>(log_name) == nullptr);
        CHECK(services.find<recorded_service>(service_name("x")) == nullptr);
    }

    // A node's caller address is taken by another process. Metrics and log
    // already run when the caller interface fails; left running, the process
    // would neither serve nor end.
    SUBCASE("one that fails stops the rest cleanly") {
        callers.fails = true;
        CHECK_FALSE(runner.start(problems));
        CHECK(
            record ==
            lines{"start metrics", "start log", "stop log", "stop metrics"});
        CHECK(problems.report().find("address in use") != std::string::npos);
        CHECK(runner.running().empty());
    }

    SUBCASE("what cannot be ordered is found before anything starts") {
        recorded_service extra{"extra", &record};
        SUBCASE("a missing need") {
            services.add(service_name("extra"), {service_name("no")}, extra);
        }
        SUBCASE("a cycle") {
            service_name const left("left");
            service_name const right("right");
            services.add(left, {right}, extra);
            services.add(right, {left}, extra);
        }
        SUBCASE("a name that is taken") {
            services.add(log_name, {}, extra);
        }
        CHECK_FALSE(runner.start(problems));
        CHECK_FALSE(problems.empty());
        CHECK(record.empty());
    }
}

} // namespace camphorpoint
