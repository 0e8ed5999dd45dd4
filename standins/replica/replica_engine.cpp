#include "replica/replica_engine.hpp"

#include "common/json_body.hpp"
#include "common/standin_main.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace standins {

namespace asio = boost::asio;
namespace json = boost::json;
using camphorpoint::http_exchange;
using camphorpoint::http_fields;
using camphorpoint::http_request;
using camphorpoint::http_response;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string adapter_of(std::string const& asked) {
    std::size_t const slash = asked.find('/');
    return slash == std::string::npos ? "" : asked.substr(slash + 1);
}

http_response not_run(int status) {
    http_response response = json_response(status, "{}");
    response.fields.add("X-Not-Executed", "1");
    return response;
}

} // namespace

replica_engine::replica_engine(
    std::string id, std::string model, unsigned slots)
    : id_(std::move(id))
    , model_(std::move(model))
    , slots_(slots) {}

std::string replica_engine::entry(
    std::string const& service, std::string const& address) const {
    json::array models;
    if (!model_.empty()) {
        models.push_back(json::object{
            {"name", model_}, {"version", 1}, {"adapters", json::array()}});
    }
    json::object const text{
        {"service", service},
        {"address", address},
        {"zone", "z"},
        {"version", software},
        {"slots", 8},
        {"state", "ready"},
        {"models", std::move(models)},
        {"sequence", ++heartbeats_},
        {"born", born_}};
    return json::serialize(text);
}

void replica_engine::start_again() {
    constexpr std::int64_t later = 5'000;
    born_ += later;
    sequence_ = 0;
    fence_ = 0;
    adapters_.clear();
}

bool replica_engine::holds(std::string const& asked) const {
    std::string const adapter = adapter_of(asked);
    if (adapter.empty()) {
        return true;
    }
    auto const found = adapters_.find(adapter);
    return found != adapters_.end() && found->second.ready <= clock_now();
}

http_response replica_engine::order(std::string const& body) {
    json_body const asked(body);
    auto const fence =
        static_cast<std::uint64_t>(asked.integer("fencing_token", 0));
    if (fence < fence_) {
        return json_response(412, "{}");
    }
    fence_ = fence;
    holders[fence].insert(asked.text("holder"));
    std::string const adapter = asked.text("adapter");
    bool const unload = asked.text("operation") == "unload";
    auto const found = adapters_.find(adapter);
    auto const version = static_cast<unsigned>(asked.integer("version", 1));
    bool const there = found != adapters_.end();
    if (!unload && there && found->second.version >= version) {
        bool const ready = found->second.ready <= clock_now();
        return json_response(ready ? 200 : 202, "{}");
    }
    auto const expect = static_cast<std::uint64_t>(asked.integer("expect", 0));
    if (expect != sequence_) {
        return json_response(409, "{}");
    }
    ++sequence_;
    if (unload) {
        adapters_.erase(adapter);
        return json_response(200, "{}");
    }
    adapters_[adapter] = {version, clock_now() + load_time};
    overfilled = overfilled || adapters_.size() > slots_;
    return json_response(202, "{}");
}

http_response replica_engine::report() const {
    json::array names;
    json::array pending;
    for (auto const& [name, each] : adapters_) {
        std::string const listed = name + "@" + std::to_string(each.version);
        if (each.ready <= clock_now()) {
            names.emplace_back(listed);
        } else {
            pending.emplace_back(model_ + "/" + listed);
        }
    }
    json::array models;
    if (!model_.empty()) {
        models.push_back(json::object{
            {"name", model_}, {"version", 1}, {"adapters", std::move(names)}});
    }
    json::object const text{
        {"born", born_},
        {"models", std::move(models)},
        {"busy", false},
        {"sequence", sequence_},
        {"pending", std::move(pending)}};
    return json_response(200, json::serialize(text));
}

asio::awaitable<void> replica_engine::end_of_silence() const {
    while (clock_now() < silent_until) {
        auto const left =
            std::chrono::ceil<milliseconds>(silent_until - clock_now());
        co_await wait_for(left);
    }
}

asio::awaitable<void> replica_engine::answer(http_exchange& exchange) {
    co_await end_of_silence();
    std::string const target = exchange.request().target;
    std::string_view const meant =
        exchange.request().fields.get("X-Target-Instance");
    http_response response;
    if (target == "/report") {
        // Whoever is meant, as the platform's replicas do.
        response = report();
    } else if (!meant.empty() && meant != id_) {
        response = not_run(421);
    } else if (target == "/order") {
        response = order(exchange.request().body.text());
    } else {
        co_await run(exchange);
        co_return;
    }
    co_await end_of_silence();
    co_await respond(exchange, std::move(response));
}

asio::awaitable<void>
replica_engine::respond(http_exchange& exchange, http_response response) const {
    name_state(response.fields);
    co_await respond_named(exchange, std::move(response));
}

bool replica_engine::is_poison(http_request const& request) const {
    if (!poison_body.empty() && request.body == poison_body) {
        return true;
    }
    std::istringstream parts(
        std::string(request.fields.get("X-Prompt-Prefix")));
    std::string part;
    while (std::getline(parts, part, ',')) {
        if (poison_parts.contains(part.substr(0, part.find(':')))) {
            return true;
        }
    }
    return false;
}

replica_fault replica_engine::next_fault() {
    if (faults.empty()) {
        return draw_fault ? draw_fault() : replica_fault::none;
    }
    replica_fault const next = faults.front();
    faults.pop_front();
    return next;
}

std::uint64_t replica_engine::begin_run(http_request const& request) {
    std::string const id(request.fields.get("X-Request-Id"));
    ++runs[id];
    ++run_count_;
    run_fields[id] = request.fields;
    if (on_run) {
        on_run(request);
    }
    return run_count_;
}

void replica_engine::end_run(std::uint64_t run, bool broke) const {
    if (on_end) {
        on_end(run, broke);
    }
}

asio::awaitable<void> replica_engine::run(http_exchange& exchange) {
    arrivals.push_back(clock_now());
    http_fields const& fields = exchange.request().fields;
    std::string const model(fields.get("X-Model"));
    if (!holds(model)) {
        http_response response = not_run(421);
        co_await respond(exchange, std::move(response));
        co_return;
    }
    replica_fault const fault = next_fault();
    bool const no_room = room > 0 && running_ >= room;
    if (no_room) {
        record_rejection();
    }
    if (fault == replica_fault::full || no_room || sheds) {
        http_response response = not_run(503);
        if (!rest.empty()) {
            response.fields.add("Retry-After", rest);
        }
        co_await respond(exchange, std::move(response));
        co_return;
    }
    std::uint64_t const number = begin_run(exchange.request());
    if (is_poison(exchange.request())) {
        if (on_crash) {
            on_crash();
        }
        co_return;
    }
    if (fault == replica_fault::answer_lost) {
        // Returning without an answer ends the connection.
        end_run(number, true);
        co_return;
    }
    if (fault == replica_fault::silence) {
        co_await lose_answer(exchange, milliseconds(20'000));
        co_return;
    }
    if (!model.empty() && fault != replica_fault::failure) {
        co_await stream(exchange, fault, number);
        end_run(number, fault == replica_fault::cut);
        co_return;
    }
    if (service_time > milliseconds(0)) {
        ++running_;
        co_await wait_for(service_time);
        --running_;
    }
    http_response response;
    bool const failed = fault == replica_fault::failure;
    response.status = failed ? failure_status : 200;
    bool const is_signed =
        failed ? failure_signed : fault != replica_fault::unsigned_answer;
    if (is_signed) {
        response.fields.add("X-Response-Signature", "signed." + id_);
    }
    response.body =
        "answer of " + id_ + " to " + exchange.request().body.text();
    co_await end_of_silence();
    co_await respond(exchange, std::move(response));
    end_run(number, false);
}

asio::awaitable<void> replica_engine::stream(
    http_exchange& exchange, replica_fault fault, std::uint64_t run) {
    http_fields answer;
    answer.add("Content-Type", "text/event-stream");
    answer.add("X-Response-Signature", "signed." + id_);
    name_state(answer);
    answer.add(
        "X-Request-Id",
        std::string(exchange.request().fields.get("X-Request-Id")));
    co_await exchange.begin_stream(200, std::move(answer));
    std::string const last(exchange.request().fields.get("Last-Event-Id"));
    unsigned const from =
        static_cast<unsigned>(std::strtoul(last.c_str(), nullptr, 10)) + 1;
    for (unsigned number = from; number <= events; ++number) {
        co_await wait_for(pause);
        co_await end_of_silence();
        std::string const data =
            event_text ? event_text(run, number) : "w" + std::to_string(number);
        std::string const event =
            "id: " + std::to_string(number) + "\ndata: " + data + "\n\n";
        if (fault == replica_fault::cut && number == from + 2) {
            std::string const half = event.substr(0, event.size() / 2);
            co_await exchange.write_piece(half);
            co_return;
        }
        bool const passed = co_await exchange.write_piece(event);
        if (!passed) {
            ++cancelled;
            co_return;
        }
    }
    co_await exchange.end_stream();
}

void replica_engine::record_rejection() {
    camphorpoint::instant const now = clock_now();
    rejections.push_back(now);
    auto const recent = std::count_if(
        rejections.begin(), rejections.end(),
        [&](camphorpoint::instant each) { return now - each < seconds(1); });
    bool const overloaded = !brittle.empty() && recent > std::stol(brittle);
    if (overloaded && on_overload) {
        on_overload();
    }
}

void replica_engine::name_state(http_fields& answer) const {
    if (!rate_limit.empty()) {
        answer.add("Server-Limit", rate_limit);
    }
    if (!brittle.empty()) {
        answer.add("Server-Brittle", brittle);
    }
    if (leaves) {
        answer.add("Server-Leaving", "1");
    }
}

} // namespace standins
