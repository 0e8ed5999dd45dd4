#include "test/gateway/gateway_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
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

gateway_fixture::gateway_fixture()
    : gateway_fixture([](gateway_fixture&) {}) {
    REQUIRE(loop.run_until([this] { return node->ready(); }));
}

gateway_fixture::gateway_fixture(
    std::function<void(gateway_fixture&)> const& before)
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
    settings.registry_poll_interval = std::chrono::milliseconds(20);
    settings.leases.renewal = std::chrono::milliseconds(50);
    settings.leases.settling = std::chrono::milliseconds(100);
    settings.stop_accepts = std::chrono::milliseconds(20);
    // A node that has just started has no credit for resends; with this ratio
    // each request earns enough. Tests of the budget set their own.
    settings.resends.ratio = 1'000;
    // All nodes and stand-ins of a test share one loop.
    settings.max_loop_delay = std::chrono::milliseconds(10'000);
    settings.stop_limit = std::chrono::milliseconds(4'000);
    before(*this);
    started_ = boot_clock::now();
    start(settings, node);
}

gateway_fixture::~gateway_fixture() {
    stop(node);
    for (additional_node& each : additional_nodes_) {
        stop(each.node);
    }
}

void gateway_fixture::start(
    gateway_settings const& with, std::unique_ptr<gateway>& which) {
    which = std::make_unique<gateway>(loop.io(), with);
    findings problems;
    bool const started = which->start(problems);
    INFO(problems.report());
    REQUIRE(started);
}

void gateway_fixture::stop(std::unique_ptr<gateway>& which) {
    if (which == nullptr) {
        return;
    }
    bool stopped = false;
    which->drain([&] { stopped = true; });
    loop.run_until([&] { return stopped; });
}

void gateway_fixture::add_node() {
    start_node();
    REQUIRE(loop.run_until(
        [this] { return additional_nodes_.back().node->ready(); }));
}

gateway& gateway_fixture::node_at(std::size_t which) {
    return which == 0 ? *node : *additional_nodes_.at(which - 1).node;
}

instant gateway_fixture::started(std::size_t which) const {
    return which == 0 ? started_ : additional_nodes_.at(which - 1).started;
}

void gateway_fixture::disconnect_store(std::size_t which) {
    additional_nodes_.at(which - 1).store->close();
}

void gateway_fixture::reconnect_store(std::size_t which) {
    additional_node& reconnected = additional_nodes_.at(which - 1);
    REQUIRE(
        reconnected.store->listen(reconnected.settings.store_address).empty());
}

void gateway_fixture::start_node() {
    additional_node added;
    added.settings = settings;
    added.settings.name =
        node_id(fmt::format("n{}", additional_nodes_.size() + 2));
    added.settings.caller_address = unused_address();
    added.settings.readiness_address = unused_address();
    added.settings.peer_address = unused_address();
    added.settings.metrics_address = unused_address();
    added.store = std::make_unique<http_server>(
        loop.executor(), http_limits(),
        [this](http_exchange& exchange) { return metadata.answer(exchange); });
    REQUIRE(added.store->listen(local(0)).empty());
    added.settings.store_address = local(added.store->port());
    added.started = boot_clock::now();
    start(added.settings, added.node);
    additional_nodes_.push_back(std::move(added));
}

void gateway_fixture::retire(std::unique_ptr<gateway> which) {
    stop(which);
    keep_stopped(std::move(which));
}

void gateway_fixture::keep_stopped(std::unique_ptr<gateway> which) {
    stopped_nodes_.push_back(std::move(which));
}

void gateway_fixture::retire_node(std::size_t which) {
    retire(std::move(additional_nodes_.at(which - 1).node));
}

void gateway_fixture::restart_nodes() {
    retire(std::move(node));
    for (additional_node& each : additional_nodes_) {
        retire(std::move(each.node));
    }
    started_ = boot_clock::now();
    start(settings, node);
    REQUIRE(loop.run_until([this] { return node->ready(); }));
    for (additional_node& each : additional_nodes_) {
        each.started = boot_clock::now();
        start(each.settings, each.node);
        REQUIRE(loop.run_until([&] { return each.node->ready(); }));
    }
}

void gateway_fixture::crash_on_body(
    served_replica& replica, std::string const& body) {
    replica.engine.poison_body = body;
    replica.engine.on_crash = [this, &replica] {
        ++crashed_replicas;
        crash_times.push_back(boot_clock::now());
        // The server is closed later, because closing it here would destroy the
        // answer that is being handled.
        asio::post(loop.io(), [&replica] { replica.server.close(); });
    };
}

void gateway_fixture::add_replicas(
    unsigned count, std::string const& poison_body) {
    crash_on_body(first, poison_body);
    crash_on_body(second, poison_body);
    for (unsigned each = 0; each < count; ++each) {
        std::string const name = fmt::format("d{}", more_replicas.size());
        more_replicas.push_back(
            std::make_unique<served_replica>(loop, name, "m", 3));
        crash_on_body(*more_replicas.back(), poison_body);
        list(*more_replicas.back(), "llm");
        endpoint_id const id(name);
        REQUIRE(loop.run_until([&] { return node->knows_replica(id); }));
    }
}

void gateway_fixture::crash_on_part(std::string const& part) {
    first.engine.poison_parts.insert(part);
    second.engine.poison_parts.insert(part);
    for (auto const& each : more_replicas) {
        each->engine.poison_parts.insert(part);
    }
}

void gateway_fixture::configure(
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
            R"({{"name":"app"}},{{"name":"scripted"}}]{}}})",
            version, routes,
            teams.empty() ? "" : fmt::format(R"(,"tenants":{})", teams)));
}

std::string gateway_fixture::routes_of(std::size_t bytes) {
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

void gateway_fixture::list(
    served_replica const& replica, std::string const& service) {
    metadata.store().put(
        "keyed.servers", replica.id,
        replica.engine.entry(service, replica.address()));
}

void gateway_fixture::unlist(served_replica const& replica) {
    metadata.store().put("keyed.servers", replica.id, "");
}

asio::awaitable<fetch_result> gateway_fixture::send(
    ip_address to, std::string path, std::string model, std::string id,
    std::string body, http_fields fields) {
    http_call call(loop.executor());
    http_request request;
    request.fields = std::move(fields);
    request.method = "POST";
    request.target = std::move(path);
    request.body = std::move(body);
    request.fields.add("Host", "h");
    request.fields.add("X-Request-Id", id);
    if (request.fields.get("X-Request-Deadline").empty()) {
        request.fields.add("X-Request-Deadline", "3000");
    }
    if (!model.empty()) {
        request.fields.add("X-Model", model);
        request.fields.add("X-Token-Count", "100,40");
    }
    call_times times;
    co_return co_await fetch(call, std::move(to), std::move(request), times);
}

fetch_result gateway_fixture::ask_with_fields(
    std::size_t which, std::string path, std::string id,
    http_fields const& fields) {
    fetch_result result;
    loop.run([&]() -> asio::awaitable<void> {
        ip_address to = caller_address(which);
        http_fields added = fields;
        result = co_await send(
            std::move(to), std::move(path), "", std::move(id), "x",
            std::move(added));
    });
    return result;
}

fetch_result
gateway_fixture::ask(std::string path, std::string model, std::string id) {
    return send_to_node(
        0, std::move(path), std::move(model), std::move(id), "x");
}

fetch_result gateway_fixture::send_to_node(
    std::size_t which, std::string path, std::string model, std::string id,
    std::string body, http_fields const& fields) {
    fetch_result result;
    loop.run([&]() -> asio::awaitable<void> {
        ip_address to = caller_address(which);
        http_fields added = fields;
        result = co_await send(
            std::move(to), std::move(path), std::move(model), std::move(id),
            std::move(body), std::move(added));
    });
    return result;
}

ip_address gateway_fixture::caller_address(std::size_t which) const {
    return which == 0 ? settings.caller_address
                      : additional_nodes_.at(which - 1).settings.caller_address;
}

asio::awaitable<fetch_result> gateway_fixture::fetch_stream(
    ip_address to, std::string path, std::chrono::milliseconds patience,
    unsigned after) {
    http_call call(loop.executor());
    http_request request;
    request.method = "POST";
    request.target = path;
    request.fields.add("Host", "h");
    request.fields.add("X-Request-Id", path);
    request.fields.add("X-Request-Deadline", std::to_string(patience.count()));
    if (after > 0) {
        request.fields.add("Last-Event-Id", std::to_string(after));
    }
    call_times times;
    times.each_step = patience + std::chrono::seconds(1);
    co_return co_await fetch(call, std::move(to), std::move(request), times);
}

fetch_result gateway_fixture::stream_from_node(
    std::size_t which, std::string path, unsigned after) {
    constexpr std::chrono::milliseconds patience{3'000};
    fetch_result result;
    loop.run([&]() -> asio::awaitable<void> {
        ip_address to = caller_address(which);
        result = co_await fetch_stream(
            std::move(to), std::move(path), patience, after);
    });
    return result;
}

void gateway_fixture::stream_from_node_async(
    std::size_t which, std::string path, std::chrono::milliseconds patience,
    std::optional<fetch_result>& result) {
    ip_address to = caller_address(which);
    asio::co_spawn(
        loop.io(), fetch_stream(std::move(to), std::move(path), patience, 0),
        [&result](std::exception_ptr const&, fetch_result got) {
            result = std::move(got);
        });
}

void gateway_fixture::send_async(
    std::string path, std::string model, std::string id) {
    ip_address to = settings.caller_address;
    asio::co_spawn(
        loop.io(),
        send(
            std::move(to), std::move(path), std::move(model), std::move(id),
            "x"),
        [](std::exception_ptr const&, fetch_result const&) {});
}

void gateway_fixture::send_to_node_async(
    std::size_t which, std::string path, std::string model, std::string id,
    std::string body, std::vector<int>& statuses, http_fields const& fields) {
    asio::co_spawn(
        loop.io(),
        send(
            caller_address(which), std::move(path), std::move(model),
            std::move(id), std::move(body), fields),
        [&statuses](std::exception_ptr const&, fetch_result const& got) {
            statuses.push_back(got.response.status);
        });
}

unsigned gateway_fixture::runs(std::string const& id) const {
    unsigned sum = 0;
    for (served_replica const* const each : {&first, &second, &plain}) {
        auto const found = each->engine.runs.find(id);
        sum += found == each->engine.runs.end() ? 0 : found->second;
    }
    return sum;
}

http_fields with_key(std::string const& key) {
    http_fields fields;
    fields.add("Authorization", "Bearer " + key);
    return fields;
}

void append_filler_records(
    gateway_fixture& world, std::string const& topic, int count) {
    for (int each = 0; each < count; ++each) {
        world.metadata.store().put(topic, "other", std::to_string(each));
    }
}

bool within(
    gateway_fixture& world, std::chrono::milliseconds time,
    std::function<bool()> const& holds) {
    instant const until = boot_clock::now() + time;
    bool held = false;
    world.loop.run_until([&] {
        held = held || holds();
        return held || boot_clock::now() >= until;
    });
    return held;
}

} // namespace camphorpoint::testing
