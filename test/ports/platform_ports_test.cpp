#include "Ports/instance_list_http.hpp"
#include "Ports/platform_log_http.hpp"
#include "Ports/service_http.hpp"
#include "Ports/uuid_v7.hpp"
#include "common/standin_main.hpp"
#include "test/ports/loopback.hpp"

#include <doctest/doctest.h>

namespace camphorpoint {

namespace asio = boost::asio;
using testing::loopback;

namespace {

/// A platform service or endpoint that gives one answer.
struct fixed_server {
    fixed_server(loopback& loop, int status, std::string const& body)
        : server(
              loop.executor(), {},
              [this, status,
               body](http_exchange& exchange) -> asio::awaitable<void> {
                  asked = exchange.request();
                  http_response response;
                  response.status = status;
                  response.body = body;
                  co_await standins::respond_named(
                      exchange, std::move(response));
              }) {
        REQUIRE(server.listen(testing::local(0)).empty());
    }

    ip_address address() const { return testing::local(server.port()); }

    http_request asked;
    http_server server;
};

constexpr std::chrono::milliseconds patience{5'000};

log_caller const self{node_id("n1"), domain_id("graz-a")};

} // namespace

TEST_CASE("the platform's log is read and appended to") {
    loopback loop;
    http_pool pool;
    std::optional<log_batch> batch;
    append_outcome appended;
    auto const read = [&](ip_address const& address) {
        loop.run([&, address]() -> asio::awaitable<void> {
            platform_log_http log(
                loop.executor(), address, pool, patience, self);
            batch = co_await log.read(log_stream::control, log_offset{4});
        });
    };
    auto const append = [&](ip_address const& address) {
        loop.run([&, address]() -> asio::awaitable<void> {
            platform_log_http log(
                loop.executor(), address, pool, patience, self);
            appended =
                co_await log.append(log_stream::configuration, "a change");
        });
    };

    SUBCASE("records come with their offsets") {
        fixed_server server(
            loop, 200,
            R"({"first":4,"head":6,"records":[)"
            R"({"offset":4,"time_ms":1000,"data":"a"},)"
            R"({"offset":5,"time_ms":1001,"data":"b"}]})");
        read(server.address());
        CHECK(
            server.asked.target == "/streams/control/records?from=4&limit=500");
        CHECK(server.asked.fields.get("X-Node") == "n1");
        CHECK(server.asked.fields.get("X-Domain") == "graz-a");
        REQUIRE(batch);
        REQUIRE(batch->records.size() == 2);
        CHECK(batch->records[1].data == "b");
        CHECK(batch->reaches_head());
    }

    // A record that comes twice or out of order would be replayed differently
    // here than on other nodes.
    SUBCASE("an answer that is not in order is dropped") {
        std::string records;
        SUBCASE("twice the same") {
            records = R"({"offset":4,"data":"a"},{"offset":4,"data":"a"})";
        }
        SUBCASE("from before") {
            records = R"({"offset":3,"data":"a"})";
        }
        SUBCASE("from past the head") {
            records = R"({"offset":9,"data":""})";
        }
        SUBCASE("without its data") {
            records = R"({"offset":4})";
        }
        fixed_server server(
            loop, 200, R"({"first":0,"head":6,"records":[)" + records + "]}");
        read(server.address());
        CHECK_FALSE(batch);
    }

    SUBCASE("an outage is no answer") {
        fixed_server server(loop, 503, "{}");
        read(server.address());
        CHECK_FALSE(batch);
    }

    SUBCASE("an append brings the record's offset") {
        fixed_server server(loop, 200, R"({"offset":7})");
        append(server.address());
        CHECK(appended.how == append_result::appended);
        CHECK(appended.offset == log_offset{7});
        CHECK(server.asked.body == "a change");
    }

    // The log takes the record and its answer is lost, or it says something
    // else: the record may stand there, and must not be appended again.
    SUBCASE("an append without its answer may stand in the log") {
        fixed_server server(loop, 500, "{}");
        append(server.address());
        CHECK(appended.how == append_result::lost);
    }

    SUBCASE("an append that reached nothing was not sent") {
        append(testing::unused_address());
        CHECK(appended.how == append_result::not_sent);
    }
}

TEST_CASE("the platform's list is read") {
    auto const list = parse_instance_list(
        R"({"nodes":[{"id":"n1","domain":"graz-a","peer_address":"10.0.0.1:1",)"
        R"("caller_address":"10.0.0.1:2","state":"leaving"},{"id":"n2"}],)"
        R"("endpoints":[{"id":"e1","domain":"leoben","kind":"engine",)"
        R"("model":"m","address":"10.0.0.2:3","state":"live",)"
        R"("checks_fencing":true,"adapter_slots":8,"batch_limit":16},)"
        R"({"id":"s1","kind":"service","model":"scan",)"
        R"("address":"10.0.0.3:4"}]})");
    REQUIRE(list);
    REQUIRE(list->nodes.size() == 1);
    CHECK(list->nodes[0].state == instance_state::leaving);
    REQUIRE(list->endpoints.size() == 2);
    CHECK(list->endpoints[0].checks_fencing);
    CHECK(list->endpoints[0].adapter_slots == 8);
    CHECK(list->endpoints[1].kind == endpoint_kind::service);
    CHECK_FALSE(list->endpoints[1].checks_fencing);
    // An answer that lost its half must not look as if all had gone.
    CHECK_FALSE(parse_instance_list(R"({"nodes":[]})"));
}

TEST_CASE("a plain service's answer must bear the call's id") {
    loopback loop;
    http_pool pool;
    service_call_end end;
    auto const call_it = [&](ip_address const& address) {
        loop.run([&, address]() -> asio::awaitable<void> {
            service_http port;
            service_call request;
            request.address = "127.0.0.1:" + std::to_string(address.port);
            request.id = request_id("r1");
            request.key = "k1";
            request.body = "scan";
            http_call call(loop.executor(), &pool);
            end = co_await port.run(call, request);
        });
    };

    SUBCASE("it is handed on whole") {
        fixed_server server(loop, 200, R"({"id":"r1","label":"7"})");
        call_it(server.address());
        CHECK(end.how == attempt_result::completed);
        CHECK(end.answer == R"({"id":"r1","label":"7"})");
        CHECK(server.asked.target == "/calls");
        CHECK(server.asked.fields.get("Idempotency-Key") == "k1");
    }
    // Two answers cross in the service: a technician would see another rack.
    SUBCASE("another call's answer is dropped") {
        fixed_server server(loop, 200, R"({"id":"r2","label":"7"})");
        call_it(server.address());
        CHECK(end.how == attempt_result::mismatch);
        CHECK(end.answer.empty());
    }
    SUBCASE("a refusal didn't run, a failure may have") {
        fixed_server busy(loop, 503, "{}");
        call_it(busy.address());
        CHECK(end.how == attempt_result::refused_busy);
        fixed_server failing(loop, 500, "{}");
        call_it(failing.address());
        CHECK(end.how == attempt_result::failed);
        call_it(testing::unused_address());
        CHECK(end.how == attempt_result::not_sent);
    }
}

TEST_CASE("a minted key bears its time") {
    std::mt19937_64 random(1);
    wall_time const when{std::chrono::milliseconds(0x0190a2b3c4d5)};
    std::string const key = make_uuid_v7(when, random);
    CHECK(key.size() == 36);
    CHECK(key.starts_with("0190a2b3-c4d5-7"));
    CHECK(std::string("89ab").find(key[19]) != std::string::npos);
    CHECK(key != make_uuid_v7(when, random));
}

} // namespace camphorpoint
