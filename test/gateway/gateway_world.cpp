#include "test/gateway/gateway_world.hpp"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <exception>
#include <utility>

namespace camphorpoint::testing {

namespace asio = boost::asio;

served_replica::served_replica(
    loopback& loop, std::string name, std::string model, unsigned slots)
    : id(name)
    , engine(std::move(name), std::move(model), slots)
    , server(loop.executor(), http_limits(), [this](http_exchange& exchange) {
        return engine.answer(exchange);
    }) {
    REQUIRE(server.listen(local(0)).empty());
}

std::string served_replica::address() const {
    return fmt::format("127.0.0.1:{}", server.port());
}

gateway_world::gateway_world()
    : gateway_world([](gateway_world&) {}) {
    REQUIRE(loop.run_until([this] { return node->ready(); }));
}

gateway_world::gateway_world(std::function<void(gateway_world&)> const& before)
    : store_(loop.executor(), http_limits(), [this](http_exchange& exchange) {
        return metadata.answer(exchange);
    }) {
    REQUIRE(store_.listen(local(0)).empty());
    configure(1);
    list(first, "llm");
    list(second, "llm");
    list(plain, "app");
    settings.name = node_id("n1");
    settings.domain = domain_id("z");
    settings.caller_address = unused_address();
    settings.readiness_address = unused_address();
    settings.peer_address = unused_address();
    settings.metrics_address = unused_address();
    settings.store_address = local(store_.port());
    settings.list_pause = std::chrono::milliseconds(20);
    settings.leases.renewal = std::chrono::milliseconds(50);
    settings.leases.settling = std::chrono::milliseconds(100);
    settings.stop_accepts = std::chrono::milliseconds(20);
    settings.stop_limit = std::chrono::milliseconds(4'000);
    before(*this);
    node = std::make_unique<gateway>(loop.io(), settings);
    findings problems;
    REQUIRE(node->start(problems));
}

gateway_world::~gateway_world() {
    bool stopped = false;
    node->drain([&] { stopped = true; });
    loop.run_until([&] { return stopped; });
}

void gateway_world::configure(
    unsigned version, std::string const& extra_route) {
    std::string const route =
        R"({{"name":"{}","hostname":"h","path_prefix":"/{}/","type":"{}",)"
        R"("timeout_ms":3000,"target_latency_ms":800,"priority":0,)"
        R"("service":"{}","attempts":{},"resumable":{}}},)";
    std::string routes = fmt::format(
        fmt::runtime(route), "gen", "gen", "streaming", "llm", 2, "true");
    routes += fmt::format(
        fmt::runtime(route), "once", "once", "streaming", "llm", 1, "false");
    routes += fmt::format(
        fmt::runtime(route), "book", "book", "unsafe", "app", 1, "false");
    routes += extra_route;
    routes += fmt::format(
        fmt::runtime(route), "look", "look", "safe", "app", 2, "false");
    routes.pop_back();
    metadata.store().put(
        "keyed.op", "config",
        fmt::format(
            R"({{"version":{},"routes":[{}],"services":[{{"name":"llm",)"
            R"("engine":{{"adapter_slots":3,"loads_per_s":5,)"
            R"("models":[{{"name":"m","load_s":0.1}}]}}}},)"
            R"({{"name":"app"}}]}})",
            version, routes));
}

std::string gateway_world::routes_of(std::size_t bytes) {
    std::string routes;
    for (int number = 0; routes.size() < bytes; ++number) {
        routes += fmt::format(
            R"({{"name":"more{0}","hostname":"h","path_prefix":"/more{0}/",)"
            R"("type":"safe","timeout_ms":3000,"target_latency_ms":800,)"
            R"("priority":0,"service":"app","attempts":2}},)",
            number);
    }
    return routes;
}

void gateway_world::list(
    served_replica const& replica, std::string const& service) {
    metadata.store().put(
        "keyed.servers", replica.id,
        replica.engine.entry(service, replica.address()));
}

void gateway_world::unlist(served_replica const& replica) {
    metadata.store().put("keyed.servers", replica.id, "");
}

asio::awaitable<fetch_result>
gateway_world::send(std::string path, std::string model, std::string id) {
    http_call call(loop.executor());
    http_request request;
    request.method = "POST";
    request.target = std::move(path);
    request.body = "x";
    request.fields.add("Host", "h");
    request.fields.add("X-Request-Id", id);
    request.fields.add("X-Request-Deadline", "3000");
    if (!model.empty()) {
        request.fields.add("X-Model", model);
        request.fields.add("X-Token-Count", "100,40");
    }
    call_times times;
    ip_address to = settings.caller_address;
    co_return co_await fetch(call, std::move(to), std::move(request), times);
}

fetch_result
gateway_world::ask(std::string path, std::string model, std::string id) {
    fetch_result result;
    loop.run([&]() -> asio::awaitable<void> {
        result =
            co_await send(std::move(path), std::move(model), std::move(id));
    });
    return result;
}

void gateway_world::begin(std::string path, std::string model, std::string id) {
    asio::co_spawn(
        loop.io(), send(std::move(path), std::move(model), std::move(id)),
        [](std::exception_ptr const&, fetch_result const&) {});
}

unsigned gateway_world::runs(std::string const& id) const {
    unsigned sum = 0;
    for (served_replica const* const each : {&first, &second, &plain}) {
        auto const found = each->engine.runs.find(id);
        sum += found == each->engine.runs.end() ? 0 : found->second;
    }
    return sum;
}

} // namespace camphorpoint::testing
