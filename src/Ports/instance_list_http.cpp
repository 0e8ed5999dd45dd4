#include "Ports/instance_list_http.hpp"

#include "Ports/http_client.hpp"
#include "Ports/json_fields.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr int status_ok = 200;

instance_state parse_state(json::object const& object) {
    return json_text(object, "state") == "leaving" ? instance_state::leaving
                                                   : instance_state::live;
}

std::uint32_t small_number(json::object const& object, std::string_view key) {
    constexpr std::uint64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::min(json_number(object, key).value_or(0), most));
}

node_instance parse_node(json::object const& object) {
    node_instance result;
    result.id = node_id(json_text(object, "id"));
    result.domain = domain_id(json_text(object, "domain"));
    result.peer_address = json_text(object, "peer_address");
    result.caller_address = json_text(object, "caller_address");
    result.state = parse_state(object);
    return result;
}

endpoint_instance parse_endpoint(json::object const& object) {
    endpoint_instance result;
    result.id = endpoint_id(json_text(object, "id"));
    result.domain = domain_id(json_text(object, "domain"));
    result.kind = json_text(object, "kind") == "service"
                      ? endpoint_kind::service
                      : endpoint_kind::engine;
    result.model = model_id(json_text(object, "model"));
    result.address = json_text(object, "address");
    result.state = parse_state(object);
    result.checks_fencing = json_flag(object, "checks_fencing", false);
    result.adapter_slots = small_number(object, "adapter_slots");
    result.batch_limit = small_number(object, "batch_limit");
    return result;
}

} // namespace

std::optional<instance_list> parse_instance_list(std::string_view body) {
    auto const answer = parse_json_object(body);
    if (!answer || !answer->contains("nodes") ||
        !answer->contains("endpoints")) {
        return std::nullopt;
    }
    instance_list result;
    for (json::object const* each : json_objects(*answer, "nodes")) {
        node_instance node = parse_node(*each);
        if (!node.id.empty() && parse_address(node.peer_address).port != 0) {
            result.nodes.push_back(std::move(node));
        }
    }
    for (json::object const* each : json_objects(*answer, "endpoints")) {
        endpoint_instance endpoint = parse_endpoint(*each);
        if (!endpoint.id.empty() && parse_address(endpoint.address).port != 0) {
            result.endpoints.push_back(std::move(endpoint));
        }
    }
    return result;
}

instance_list_http::instance_list_http(
    asio::any_io_executor executor, ip_address address, http_pool& pool,
    std::chrono::milliseconds timeout)
    : executor_(std::move(executor))
    , address_(std::move(address))
    , pool_(&pool)
    , timeout_(timeout) {}

asio::awaitable<std::optional<instance_list>> instance_list_http::read() {
    http_request request;
    request.target = "/instances";
    call_times times = reading_times_of(timeout_);
    http_call call(executor_, pool_);
    fetch_result const got =
        co_await fetch(call, address_, std::move(request), times);
    if (got.how != call_result::answered || got.response.status != status_ok) {
        co_return std::nullopt;
    }
    co_return parse_instance_list(got.response.body);
}

} // namespace camphorpoint
