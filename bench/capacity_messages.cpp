#include "Serving/peer_codec.hpp"
#include "capacity_line.hpp"
#include "capacity_parts.hpp"

#include <Camphorpoint/Config>
#include <Camphorpoint/Keys>
#include <Camphorpoint/Ownership>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <string>
#include <utility>

namespace camphorpoint::bench {

namespace {

namespace json = boost::json;

/// A UUIDv7, as the node names requests and callers name their work.
constexpr char const* some_uuid = "01890a5d-ac96-774b-b9aa-dc9ea8a3a3b2";
constexpr char const* some_engine = "engine-00001";

void print_size(char const* what, std::size_t bytes) {
    fmt::print("{:<28}{:<10}{:>11}\n", what, "bytes", bytes);
}

template <class Message>
void print_message(char const* what, Message message) {
    print_size(what, encode_peer_message(peer_message(message)).size());
}

adapter_ref some_adapter() {
    return {adapter_id("tenant-00001-lora"), 1};
}

template <class Message>
Message grant_message() {
    Message message;
    message.request = request_id(some_uuid);
    message.replica = endpoint_id(some_engine);
    return message;
}

void print_grants() {
    auto ask = grant_message<grant_request>();
    ask.adapter = some_adapter();
    print_message("grant_ask", ask);
    print_message("grant_given", grant_message<grant_issued>());
    print_message("grant_refused", grant_message<grant_refused>());
    print_message("grant_released", grant_message<grant_released>());
    print_message("grant_heartbeat, empty", grant_heartbeat());
    auto use = grant_message<grant_in_use>();
    use.adapter = some_adapter();
    print_message("grant_heartbeat, of 1", grant_heartbeat{{use}});
    print_message("grant_heartbeat, of 2", grant_heartbeat{{use, use}});
}

template <class Message>
Message key_message() {
    Message message;
    message.request = request_id(some_uuid);
    message.key = idempotency_key(some_uuid);
    return message;
}

void print_keys() {
    print_message("key_ask", key_message<key_permission_request>());
    key_reply reply;
    reply.request = request_id(some_uuid);
    print_message("key_reply", reply);
    print_message("key_finished, no answer", key_message<key_completion>());
    print_message("key_noted", key_completion_ack{request_id(some_uuid), 1});
    auto const held = key_message<running_key>();
    print_message("key_heartbeat, of 1", key_heartbeat{{held}});
    print_message("key_heartbeat, of 2", key_heartbeat{{held, held}});
}

void print_loads() {
    load_request ask;
    ask.replica = endpoint_id(some_engine);
    ask.adapter = some_adapter();
    print_message("load_ask", ask);
    load_allowed allowed;
    allowed.replica = ask.replica;
    allowed.adapter = ask.adapter;
    print_message("load_allowed", allowed);
    load_result ended;
    ended.replica = ask.replica;
    ended.adapter = ask.adapter;
    print_message("load_ended", ended);
}

void print_configuration() {
    profile value;
    value.name = profile_name("tenant-00001-support");
    value.model = model_id("base-7b");
    value.adapter = some_adapter();
    change const edit{change_id(some_uuid), "eva", {put_profile{1, value}}};
    std::string const text = encode(edit);
    print_size("change record", text.size());
    print_message("config_ask", config_ask{});
    print_message("config_records, empty", config_records{});
    config_records one;
    one.records.push_back({{1}, 1, text, {}});
    print_message("config_records, of 1", one);
}

void print_control_records() {
    constexpr std::uint64_t run = 1'764'000'000'000;
    control_record record;
    record.writer = {node_id("node-1000"), run};
    record.append = 1;
    claim const one{replica_resource(endpoint_id(some_engine))};
    record.claims.push_back(one);
    print_size(
        "control record, of 1 claim", encode_control_record(record).size());
    record.claims.push_back(one);
    print_size(
        "control record, of 2 claims", encode_control_record(record).size());
}

json::object make_node_entry(std::uint32_t number) {
    return {
        {"id", fmt::format("node-{:04}", number)},
        {"domain", fmt::format("domain-{:02}", number % 35)},
        {"peer_address", fmt::format("10.20.30.40:{}", 10'000 + number)},
        {"caller_address", fmt::format("10.20.30.40:{}", 20'000 + number)},
        {"state", "live"}};
}

json::object make_endpoint_entry(std::uint32_t number) {
    return {
        {"id", fmt::format("engine-{:05}", number)},
        {"domain", fmt::format("domain-{:02}", number % 35)},
        {"kind", "engine"},
        {"model", "base-7b"},
        {"address", fmt::format("10.20.30.40:{}", 10'000 + number)},
        {"state", "live"},
        {"checks_fencing", true},
        {"adapter_slots", 32},
        {"batch_limit", 32}};
}

/// The platform's list as the stand-in writes it. Only Boost.JSON's reading
/// is timed, which is the least that the port must do.
capacity_cost list_text(std::uint32_t endpoints) {
    constexpr std::uint32_t nodes = 1'900;
    json::array node_list;
    for (std::uint32_t at = 0; at < nodes; ++at) {
        node_list.emplace_back(make_node_entry(at));
    }
    json::array endpoint_list;
    for (std::uint32_t at = 0; at < endpoints; ++at) {
        endpoint_list.emplace_back(make_endpoint_entry(at));
    }
    std::string const text = json::serialize(json::object{
        {"nodes", std::move(node_list)},
        {"endpoints", std::move(endpoint_list)}});
    capacity_meter const meter;
    { json::value const read = json::parse(text); }
    capacity_cost cost = meter.read(1);
    cost.retained_bytes = static_cast<double>(text.size());
    return cost;
}

/// An engine's report as the stand-in writes it, every slot resident.
capacity_cost report_text(std::uint32_t residents) {
    json::array list;
    for (std::uint32_t at = 0; at < residents; ++at) {
        list.emplace_back(json::object{
            {"adapter", fmt::format("tenant-{:05}-lora", at)}, {"version", 1}});
    }
    std::string const text = json::serialize(json::object{
        {"incarnation", 1},
        {"running", residents},
        {"queued", 0},
        {"resident", list},
        {"loading", json::array()},
        {"in_use", list},
        {"age_ms", 0}});
    capacity_meter const meter;
    { json::value const read = json::parse(text); }
    capacity_cost cost = meter.read(1);
    cost.retained_bytes = static_cast<double>(text.size());
    return cost;
}

/// Writing and reading one heartbeat of so many grants.
capacity_cost codec_cost(std::uint32_t grants) {
    auto use = grant_message<grant_in_use>();
    use.adapter = some_adapter();
    grant_heartbeat beat;
    beat.grants.assign(grants, use);
    constexpr int times = 500;
    std::size_t read = 0;
    capacity_meter const meter;
    for (int at = 0; at < times; ++at) {
        std::string const bytes = encode_peer_message(peer_message(beat));
        read += decode_peer_message(bytes).has_value() ? 1U : 0U;
    }
    capacity_cost const cost = meter.read(times);
    return read == times ? cost : capacity_cost{-1, -1, -1};
}

} // namespace

void print_message_sizes() {
    print_grants();
    print_keys();
    print_loads();
    print_configuration();
    print_control_records();
    print_size(
        "log read, its request",
        std::string("GET /streams/configuration/records?from=1234567&limit=500 "
                    "HTTP/1.1\r\nHost: camphorpoint\r\n\r\n")
            .size());
    print_size(
        "log read, empty answer's body",
        std::string(R"({"first":1234567,"head":1234568,"records":[]})").size());
    // "retained" is here the text's length.
    print_lines(
        "instance list, text", cost_figures::both,
        {1'500, 3'000, 6'000, 12'000}, list_text);
    print_lines(
        "engine report, text", cost_figures::both, {4, 8, 16, 32}, report_text);
    print_lines(
        "codec, heartbeat of grants", cost_figures::time, {1, 8, 64, 512},
        codec_cost);
}

} // namespace camphorpoint::bench
