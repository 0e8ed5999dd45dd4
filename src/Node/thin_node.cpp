#include "Node/thin_node.hpp"

#include "Config/config_record.hpp"
#include "Core/outcome.hpp"
#include "Operator/configuration_view.hpp"
#include "Placement/rendezvous.hpp"
#include "Ports/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace camphorpoint {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds call_timeout{5'000};
constexpr int conflict_status = 409;

http_response refusal(int status, reason why) {
    http_response response;
    response.status = status;
    response.fields.add("Content-Type", "application/json");
    response.fields.add("X-Outcome", std::string(to_string(outcome::not_run)));
    response.fields.add("X-Reason", std::string(to_string(why)));
    response.body = fmt::format(
        "{{\"error\":{{\"outcome\":\"not-run\",\"reason\":\"{}\"}}}}\n",
        to_string(why));
    return response;
}

std::string engine_model(adapter_ref const& adapter) {
    return fmt::format("{}@{}", adapter.id.str(), adapter.version);
}

} // namespace

thin_node::thin_node(asio::io_context& io, node_settings settings)
    : io_(io)
    , settings_(std::move(settings))
    , server_(
          io.get_executor(), http_limits{.body_bytes = settings_.body_limit},
          [this](http_exchange& exchange) { return answer(exchange); })
    , operators_(
          io.get_executor(), http_limits{}, [this](http_exchange& exchange) {
              return answer_operator(exchange);
          }) {}

std::string thin_node::start() {
    std::string problem = server_.listen(settings_.caller_address);
    if (problem.empty()) {
        problem = operators_.listen(settings_.operator_address);
    }
    if (problem.empty()) {
        asio::co_spawn(io_, follow_log(), asio::detached);
        asio::co_spawn(io_, follow_instances(), asio::detached);
    }
    return problem;
}

asio::awaitable<void> thin_node::follow_log() {
    asio::steady_timer timer(io_);
    for (;;) {
        http_request request;
        request.target = fmt::format(
            "/streams/configuration/records?from={}", profiles_.next().value);
        fetch_result const got = co_await fetch(
            io_.get_executor(), settings_.log_address, request, call_timeout);
        if (got.how == call_result::answered) {
            take_records(got.response.body);
        }
        timer.expires_after(settings_.log_poll);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void thin_node::take_records(std::string const& body) {
    json::error_code error;
    json::value const answer = json::parse(body, error);
    if (error) {
        return;
    }
    for (json::value const& record : answer.at("records").as_array()) {
        log_record next;
        next.offset =
            log_offset{record.at("offset").to_number<std::uint64_t>()};
        next.data = std::string(record.at("data").as_string());
        profiles_.apply(next);
    }
}

asio::awaitable<void> thin_node::answer_operator(http_exchange& exchange) {
    std::string const path(path_of(exchange.request().target));
    http_response response;
    if (exchange.request().method == "POST" && path == "/changes") {
        std::string record = exchange.request().body;
        response = co_await publish(std::move(record));
    } else {
        response = read_operator(path);
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<http_response> thin_node::publish(std::string record) {
    http_response response;
    decoded_record const decoded = decode(record);
    change const* const wanted =
        decoded ? std::get_if<change>(&decoded.value()) : nullptr;
    if (wanted == nullptr) {
        response.status = 400;
        co_return response;
    }
    http_request request;
    request.method = "POST";
    request.target = "/streams/configuration/records";
    request.body = std::move(record);
    co_await fetch(
        io_.get_executor(), settings_.log_address, request, call_timeout);
    // Replay tells what became of it, also when the log's answer was lost.
    publish_answer answer;
    auto const end = std::chrono::steady_clock::now() + call_timeout;
    asio::steady_timer timer(io_);
    do {
        timer.expires_after(settings_.log_poll);
        co_await timer.async_wait(asio::use_awaitable);
        answer = answer_about(profiles_, wanted->id);
    } while (!answer.known && std::chrono::steady_clock::now() < end);
    response.body = encode(answer);
    co_return response;
}

http_response thin_node::read_operator(std::string const& path) const {
    constexpr std::string_view one_change = "/changes/";
    http_response response;
    if (path == "/profiles") {
        response.body = encode(list_profiles(profiles_));
    } else if (path == "/changes") {
        response.body = encode(list_changes(profiles_));
    } else if (path.starts_with(one_change)) {
        change_id const id(path.substr(one_change.size()));
        response.body = encode(answer_about(profiles_, id));
    } else if (path == "/status") {
        json::object const applied{
            {"offset", profiles_.next().value},
            {"digest", fmt::format("{:016x}", profiles_.digest())}};
        response.body = json::serialize(
            json::object{{"ready", true}, {"configuration", applied}});
    } else if (path != "/healthz" && path != "/readyz") {
        response.status = 404;
    }
    return response;
}

asio::awaitable<void> thin_node::follow_instances() {
    asio::steady_timer timer(io_);
    for (;;) {
        http_request request;
        request.target = "/instances";
        fetch_result const got = co_await fetch(
            io_.get_executor(), settings_.instance_list_address, request,
            call_timeout);
        if (got.how == call_result::answered) {
            take_instances(got.response.body);
        }
        timer.expires_after(settings_.instance_poll);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void thin_node::take_instances(std::string const& body) {
    json::error_code error;
    json::value const answer = json::parse(body, error);
    if (error) {
        return;
    }
    engines_.clear();
    for (json::value const& each : answer.at("endpoints").as_array()) {
        if (each.at("kind").as_string() != "engine") {
            continue;
        }
        engine_instance engine;
        engine.id = endpoint_id(std::string(each.at("id").as_string()));
        engine.model = model_id(std::string(each.at("model").as_string()));
        engine.address = parse_address(each.at("address").as_string());
        engines_[engine.id] = engine;
    }
}

engine_instance const* thin_node::choose(profile const& wanted) const {
    std::vector<endpoint_id> members;
    for (auto const& [id, engine] : engines_) {
        if (engine.model == wanted.model) {
            members.push_back(id);
        }
    }
    auto const best = rendezvous_top(wanted.adapter.id.str(), members, 1);
    return best.empty() ? nullptr : &engines_.at(best.front());
}

asio::awaitable<void> thin_node::answer(http_exchange& exchange) {
    http_request const& request = exchange.request();
    if (request.method != "POST" || request.target != "/v1/chat/completions") {
        co_await exchange.respond(refusal(404, reason::bad_request));
        co_return;
    }
    json::error_code error;
    json::value body = json::parse(request.body, error);
    if (error || !body.is_object() || !body.as_object().contains("model") ||
        !body.at("model").is_string()) {
        co_await exchange.respond(refusal(400, reason::bad_request));
        co_return;
    }
    profile_name const name(std::string(body.at("model").as_string()));
    profile const* found = profiles_.find(name);
    if (found == nullptr) {
        co_await exchange.respond(refusal(404, reason::unknown_profile));
        co_return;
    }
    profile const wanted = *found;
    body.as_object()["model"] = engine_model(wanted.adapter);
    co_await complete(exchange, wanted, json::serialize(body));
}

asio::awaitable<bool> thin_node::order_load(
    engine_instance const& engine, adapter_ref const& adapter) {
    http_request order;
    order.method = "POST";
    order.target = "/orders";
    order.body = json::serialize(json::object{
        {"order", "load"},
        {"adapter", adapter.id.str()},
        {"version", adapter.version}});
    fetch_result const got =
        co_await fetch(io_.get_executor(), engine.address, order, call_timeout);
    co_return got.how == call_result::answered&& got.response.status == 200;
}

asio::awaitable<void>
thin_node::complete(http_exchange& exchange, profile wanted, std::string body) {
    engine_instance const* chosen = choose(wanted);
    if (chosen == nullptr) {
        co_await exchange.respond(refusal(503, reason::no_endpoint));
        co_return;
    }
    engine_instance const engine = *chosen;
    http_request onward;
    onward.method = "POST";
    onward.target = "/v1/chat/completions";
    onward.fields.add(
        "X-Request-Id",
        fmt::format("{}-{}", settings_.name.str(), next_request_++));
    onward.body = std::move(body);
    http_call first(io_.get_executor());
    http_call second(io_.get_executor());
    http_call* call = &first;
    bool answered = co_await call->connect(engine.address, call_timeout) &&
                    co_await call->send(onward, call_timeout);
    if (answered && call->status() == conflict_status) {
        call = &second;
        answered = co_await order_load(engine, wanted.adapter) &&
                   co_await call->connect(engine.address, call_timeout) &&
                   co_await call->send(onward, call_timeout);
    }
    if (!answered || call->status() != 200) {
        http_response failed = refusal(502, reason::endpoint_failed);
        co_await exchange.respond(failed);
        co_return;
    }
    http_fields fields;
    fields.add("Content-Type", "text/event-stream");
    fields.add("X-Adapter", wanted.adapter.id.str());
    fields.add("X-Adapter-Version", std::to_string(wanted.adapter.version));
    co_await exchange.begin_stream(200, fields);
    while (auto piece = co_await call->next_piece(call_timeout)) {
        if (piece->empty()) {
            break;
        }
        co_await exchange.write_piece(*piece);
    }
    co_await exchange.end_stream();
}

} // namespace camphorpoint
