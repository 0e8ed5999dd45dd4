#include "test/gateway/partitioned_node.hpp"

#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace camphorpoint::testing {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

/// Time from a cut until callers are served again: `contact_ms` of the users'
/// deployments.
constexpr std::chrono::milliseconds notice_time{3'000};

std::string text_of(ip_address const& address) {
    return fmt::format("{}:{}", address.host, address.port);
}

} // namespace

partitioned_node::partitioned_node(gateway_fixture& world)
    : world_(world)
    , store_(
          world.loop.executor(), http_limits(),
          [registry = registry_, &world](http_exchange& exchange) {
              bool const of_replicas =
                  exchange.request().target.find("keyed.servers") !=
                  std::string::npos;
              return of_replicas ? registry->answer(exchange)
                                 : world.metadata.answer(exchange);
          })
    , settings_(world.settings)
    , full_listener_(world.loop.io()) {
    REQUIRE(store_.listen(local(0)).empty());
    list_replicas();
    settings_.name = node_id("partitioned");
    settings_.caller_address = unused_address();
    settings_.readiness_address = unused_address();
    settings_.peer_address = unused_address();
    settings_.metrics_address = unused_address();
    settings_.store_address = local(store_.port());
    node_ = std::make_unique<gateway>(world.loop.io(), settings_);
    findings problems;
    REQUIRE(node_->start(problems));
    REQUIRE(world.loop.run_until([this] { return node_->ready(); }));
    within(world, std::chrono::milliseconds(500), [] { return false; });
}

partitioned_node::~partitioned_node() {
    world_.retire(std::move(node_));
}

void partitioned_node::list_replicas() {
    for (auto const& [replica, service] :
         {std::pair{&world_.first, "llm"}, std::pair{&world_.second, "llm"},
          std::pair{&world_.plain, "app"}}) {
        std::string const address =
            replaced_address_.empty() ? replica->address() : replaced_address_;
        registry_->store().put(
            "keyed.servers", replica->id,
            replica->engine.entry(service, address));
    }
}

void partitioned_node::cut(partition_kind kind) {
    if (kind == partition_kind::refused) {
        replaced_address_ = text_of(unused_address());
    } else {
        full_listener_.open(tcp::v4());
        full_listener_.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        full_listener_.listen(0);
        constexpr std::size_t fillers = 4;
        backlog_.reserve(fillers);
        for (std::size_t each = 0; each < fillers; ++each) {
            backlog_.emplace_back(world_.loop.io());
            backlog_.back().async_connect(
                full_listener_.local_endpoint(), asio::detached);
        }
        within(world_, std::chrono::milliseconds(50), [] { return false; });
        replaced_address_ =
            text_of(local(full_listener_.local_endpoint().port()));
    }
    list_replicas();
    // The node reads its registry again.
    within(world_, std::chrono::milliseconds(200), [] { return false; });
}

void partitioned_node::heal() {
    replaced_address_.clear();
    list_replicas();
    within(world_, std::chrono::milliseconds(200), [] { return false; });
}

fetch_result partitioned_node::ask(
    std::string path, std::string model, std::string id, http_fields fields) {
    fetch_result result;
    world_.loop.run([&]() -> asio::awaitable<void> {
        http_call call(world_.loop.executor());
        http_request request;
        request.fields = std::move(fields);
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
        ip_address to = settings_.caller_address;
        call_times times;
        result = co_await fetch(call, std::move(to), std::move(request), times);
    });
    return result;
}

bool partitioned_node::await_service(
    std::string const& path, std::string const& model) {
    instant const until = boot_clock::now() + notice_time;
    unsigned number = 0;
    while (boot_clock::now() < until) {
        std::string id = fmt::format("await{}", number++);
        if (ask(path, model, std::move(id)).response.status == 200) {
            return true;
        }
        within(world_, std::chrono::milliseconds(50), [] { return false; });
    }
    return false;
}

bool partitioned_node::holds_partitions() {
    std::string const self = text_of(settings_.peer_address);
    for (auto const& [part, member] : world_.metadata.store().owners()) {
        if (member == self) {
            return true;
        }
    }
    return false;
}

} // namespace camphorpoint::testing
