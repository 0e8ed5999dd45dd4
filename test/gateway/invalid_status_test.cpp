#include "test/gateway/gateway_fixture.hpp"
#include "test/gateway/partitioned_node.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorpoint {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using testing::gateway_fixture;
using testing::loopback;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
/// Each failed answer makes one of them suspected.
constexpr unsigned replicas = 40;
constexpr int bad_gateway = 502;
/// No caller asks for an upgrade, so 101 answers none.
constexpr std::array<std::string_view, 9> invalid_statuses{
    "000", "020", "099", "101", "600", "999", "20", "1000", "2000"};
/// Well above the time of a few attempts, and below the deadline.
constexpr milliseconds promptly{1'500};

std::string const sound_stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

std::string field_of(std::string_view head, std::string_view name) {
    std::size_t const place = head.find(name);
    if (place == std::string_view::npos) {
        return {};
    }
    std::string_view const rest = head.substr(place + name.size());
    return std::string(rest.substr(0, rest.find("\r\n")));
}

/// @returns the text with the request's id in place of each "{id}"
std::string with_id(std::string text, std::string_view id) {
    constexpr std::string_view mark = "{id}";
    std::size_t place = text.find(mark);
    while (place != std::string::npos) {
        text.replace(place, mark.size(), id);
        place = text.find(mark);
    }
    return text;
}

std::string answer(
    std::string_view status, std::string_view fields, std::string_view body) {
    return fmt::format(
        "HTTP/1.1 {} Any\r\nX-Request-Id: {{id}}\r\n{}\r\n{}", status, fields,
        body);
}

std::string signed_answer(std::string_view status, std::string_view body) {
    return answer(
        status,
        fmt::format(
            "X-Response-Signature: of {}\r\nContent-Length: {}\r\n", status,
            body.size()),
        body);
}

/// @returns answers with one status: signed or not, with a statement that the
///          request has not run, with and without body, and with a sound answer
///          to the same request behind
std::vector<std::string> answers_with(std::string_view status) {
    std::vector<std::string> all;
    for (std::string_view const fields :
         {"", "X-Response-Signature: odd\r\n",
          "X-Response-Signature: odd\r\nX-Not-Executed: 1\r\n"}) {
        std::string const begin(fields);
        for (std::string const& bare :
             {answer(status, begin, ""),
              answer(status, begin + "Content-Length: 0\r\n", ""),
              answer(status, begin + "Content-Length: 3\r\n", "odd")}) {
            all.push_back(bare);
            all.push_back(bare + signed_answer("200", "behind"));
        }
    }
    return all;
}

/// Replicas that share one address. Answers in order of a script, and then with
/// the sound stream; leaves the connections open.
class status_replica {
public:
    explicit status_replica(loopback& loop)
        : loop_(&loop)
        , acceptor_(
              loop.io(), tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
        asio::co_spawn(loop.io(), accept_all(), asio::detached);
    }
    ~status_replica() {
        acceptor_.close();
        loop_->io().poll();
    }
    status_replica(status_replica const&) = delete;
    status_replica& operator=(status_replica const&) = delete;

    std::string entry(std::string_view service) const {
        return fmt::format(
            R"({{"service":"{}","address":"127.0.0.1:{}","zone":"z",)"
            R"("slots":64,"state":"ready","models":[],"sequence":1,)"
            R"("born":1767225600000}})",
            service, acceptor_.local_endpoint().port());
    }

    std::deque<std::string> script;
    /// How often each request came, by its id.
    std::map<std::string, unsigned> sends;
    /// Last-Event-Id of the newest request.
    std::string last_event;
    unsigned open_connections = 0;
    /// Answers of the script that were sent on kept connections.
    unsigned scripted_on_kept = 0;

private:
    asio::awaitable<void> accept_all() {
        while (acceptor_.is_open()) {
            auto [error, socket] = co_await acceptor_.async_accept(use_result);
            if (!error) {
                asio::co_spawn(
                    loop_->io(), serve(std::move(socket)), asio::detached);
            }
        }
    }

    std::string next_answer(bool kept) {
        if (script.empty()) {
            return signed_answer("200", sound_stream);
        }
        scripted_on_kept += kept ? 1 : 0;
        std::string text = std::move(script.front());
        script.pop_front();
        return text;
    }

    asio::awaitable<void> serve(tcp::socket taken) {
        auto const link = std::make_shared<tcp::socket>(std::move(taken));
        bool kept = false;
        ++open_connections;
        std::string head = co_await testing::read_request(*link);
        while (head.find("\r\n\r\n") != std::string::npos) {
            std::string const id = field_of(head, "X-Request-Id: ");
            ++sends[id];
            last_event = field_of(head, "Last-Event-Id: ");
            std::string text = with_id(next_answer(kept), id);
            co_await testing::write_text(*link, std::move(text));
            kept = true;
            head = co_await testing::read_request(*link);
        }
        --open_connections;
    }

    loopback* loop_;
    tcp::acceptor acceptor_;
};

/// One node in front of the replicas. Requests below /take/ may run once, those
/// below /read/ are safe, streams below /runs/ may be resumed; each route
/// allows three attempts.
class status_fixture {
public:
    status_fixture()
        : world([](gateway_fixture& before) {
            before.settings.resends.slack = 1e6;
            before.settings.stream_lifetime = milliseconds(0);
        })
        , replica(world.loop) {
        REQUIRE(world.loop.run_until([this] { return world.node->ready(); }));
        world.configure(
            2, route("take", "unsafe", "") + route("read", "safe", "") +
                   route("runs", "streaming", R"(,"resumable":true)"));
        for (unsigned each = 0; each < replicas; ++each) {
            world.metadata.store().put(
                "keyed.servers", fmt::format("s{}", each),
                replica.entry("scripted"));
        }
        endpoint_id const last(fmt::format("s{}", replicas - 1));
        REQUIRE(world.loop.run_until([&] {
            return world.node->configuration_version() == 2 &&
                   world.node->knows_replica(last);
        }));
    }

    static std::string
    route(std::string_view name, std::string_view kind, std::string_view more) {
        return fmt::format(
            R"({{"name":"{0}","hostname":"h","path_prefix":"/{0}/",)"
            R"("type":"{1}","timeout_ms":3000,"target_latency_ms":800,)"
            R"("priority":0,"service":"scripted","attempts":3{2}}},)",
            name, kind, more);
    }

    struct timed_answer {
        fetch_result got;
        duration took{};
        unsigned sends = 0;
    };

    timed_answer ask(std::string_view route) {
        timed_answer result;
        std::string const id = fmt::format("q{}", ++asked_);
        world.loop.run([&]() -> asio::awaitable<void> {
            http_call call(world.loop.executor());
            http_request request;
            request.method = "POST";
            request.fields.add("Host", "h");
            request.fields.add("X-Request-Id", id);
            request.fields.add("X-Request-Deadline", "3000");
            request.target = fmt::format("/{}/{}", route, id);
            ip_address to = world.settings.caller_address;
            instant const began = boot_clock::now();
            result.got = co_await fetch(call, to, request, call_times());
            result.took = boot_clock::now() - began;
        });
        result.sends = replica.sends[id];
        return result;
    }

    gateway_fixture world;
    status_replica replica;

private:
    unsigned asked_ = 0;
};

/// Checks that the caller was told by the node itself, at once, that the
/// request failed and may have run.
void check_own_failure(fetch_result const& got) {
    CHECK(got.how == call_result::answered);
    CHECK(got.response.status == bad_gateway);
    CHECK(got.response.fields.get("X-Response-Signature").empty());
    CHECK(got.response.fields.get("X-Not-Executed").empty());
    CHECK(got.response.body.empty());
}

void check_sound(fetch_result const& got) {
    CHECK(got.how == call_result::answered);
    CHECK(got.response.status == 200);
    CHECK(got.response.fields.get("X-Response-Signature") == "of 200");
    CHECK(got.response.body == sound_stream);
}

} // namespace

// Guards against a replica's invalid status being passed on to a caller,
// against a caller that waits for more until its deadline, and against a second
// run of a request that may run once.
TEST_CASE(
    "an invalid status is a failure of the node's own to an unsafe request") {
    for (std::string_view const status : invalid_statuses) {
        status_fixture world;
        for (std::string const& text : answers_with(status)) {
            CAPTURE(text);
            world.replica.script = {text};
            auto const asked = world.ask("take");
            check_own_failure(asked.got);
            CHECK(asked.sends == 1);
            CHECK(asked.took < promptly);
        }
    }
}

// Guards against a request that could have been answered by another replica but
// fails, or lasts until its deadline, at one that answers with an invalid
// status.
TEST_CASE("an invalid status leaves a safe request to another replica") {
    for (std::string_view const status : invalid_statuses) {
        status_fixture world;
        for (std::string const& text : answers_with(status)) {
            for (std::string_view const route : {"read", "runs"}) {
                CAPTURE(text);
                CAPTURE(route);
                world.replica.script = {text};
                auto const asked = world.ask(route);
                check_sound(asked.got);
                CHECK(asked.sends == 2);
                CHECK(asked.took < promptly);
            }
        }
    }
}

// Guards against the last replica's invalid status being passed on when no
// attempt is left.
TEST_CASE("invalid statuses of all attempts are a failure of the node's own") {
    for (std::string_view const status : invalid_statuses) {
        CAPTURE(status);
        status_fixture world;
        std::string const text = signed_answer(status, "odd");
        for (std::string_view const route : {"read", "runs"}) {
            CAPTURE(route);
            world.replica.script = {text, text, text};
            auto const asked = world.ask(route);
            check_own_failure(asked.got);
            CHECK(asked.sends == 3);
            CHECK(asked.took < promptly);
        }
    }
}

// Guards against a failure with the signature of one replica and the status of
// another.
TEST_CASE("a signed failure keeps its status beside invalid ones") {
    for (std::string_view const status : invalid_statuses) {
        CAPTURE(status);
        status_fixture world;
        std::string const odd = signed_answer(status, "odd");
        std::string const failed = signed_answer("500", "failed");
        for (auto const& script :
             {std::deque{failed, odd, odd}, std::deque{odd, failed, odd},
              std::deque{odd, odd, failed}}) {
            world.replica.script = script;
            auto const asked = world.ask("read");
            CHECK(asked.got.response.status == 500);
            CHECK(
                asked.got.response.fields.get("X-Response-Signature") ==
                "of 500");
            CHECK(asked.got.response.body == "failed");
            CHECK(asked.sends == 3);
        }
    }
}

// Guards against a stream that ends because its resumption meets a replica that
// answers with an invalid status.
TEST_CASE("a stream is resumed behind an invalid status") {
    for (std::string_view const status : invalid_statuses) {
        status_fixture world;
        for (std::string const& text : answers_with(status)) {
            CAPTURE(text);
            std::string const first = sound_stream.substr(0, 15);
            std::string const rest = sound_stream.substr(15);
            std::string const fields = "X-Response-Signature: of 200\r\n"
                                       "Transfer-Encoding: chunked\r\n";
            // The chunk's end is spoiled, so that the answer ends behind it.
            world.replica.script = {
                answer("200", fields, fmt::format("f\r\n{}xx\r\n\r\n", first)),
                text, signed_answer("200", rest)};
            auto const asked = world.ask("runs");
            check_sound(asked.got);
            CHECK(asked.sends == 3);
            CHECK(world.replica.last_event == "1");
            CHECK(asked.took < promptly);
        }
    }
}

// Guards against what follows an invalid status on a kept connection being read
// as the answer to this request or to a later one.
TEST_CASE("a connection is closed after an invalid status") {
    for (std::string_view const status : invalid_statuses) {
        status_fixture world;
        for (std::string const& text : answers_with(status)) {
            CAPTURE(text);
            check_sound(world.ask("read").got);
            world.replica.scripted_on_kept = 0;
            world.replica.script = {text};
            check_own_failure(world.ask("take").got);
            CHECK(world.replica.scripted_on_kept == 1);
            CHECK(testing::within(world.world, milliseconds(500), [&] {
                return world.replica.open_connections == 0;
            }));
        }
    }
}

// Guards against a peer that passes a replica's invalid status on to the node
// that relays through it.
TEST_CASE("an invalid status behind a relay is a failure of a node's own") {
    gateway_fixture world;
    status_replica odd(world.loop);
    testing::partitioned_node cut_off(world);
    cut_off.cut(testing::partition_kind::refused);
    REQUIRE(cut_off.await_service("/look/b", ""));
    world.metadata.store().put("keyed.servers", "p1", odd.entry("app"));
    REQUIRE(testing::within(world, milliseconds(3'000), [&] {
        cut_off.ask("/look/b", "", fmt::format("w{}", odd.sends.size()));
        return !odd.sends.empty();
    }));
    unsigned number = 0;
    for (std::string_view const status : invalid_statuses) {
        for (std::string_view const route : {"look", "book"}) {
            CAPTURE(status);
            CAPTURE(route);
            std::string const text = signed_answer(status, "odd");
            odd.script = {text, text, text, text, text, text};
            auto const got = cut_off.ask(
                fmt::format("/{}/b", route), "", fmt::format("r{}", ++number));
            check_own_failure(got);
            CHECK(odd.sends[fmt::format("r{}", number)] > 0);
        }
    }
}

} // namespace camphorpoint
