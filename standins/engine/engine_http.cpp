#include "engine/engine_http.hpp"

#include "Ports/http_client.hpp"
#include "common/standin_main.hpp"
#include "engine/completion_form.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <chrono>
#include <memory>
#include <utility>

namespace standins {

namespace asio = boost::asio;
using camphorpoint::http_exchange;

namespace {

constexpr std::chrono::milliseconds snapshot_period{20};
constexpr std::chrono::milliseconds fetch_timeout{60'000};
constexpr std::chrono::milliseconds stall_check{50};

int status_of(order_verdict verdict) {
    switch (verdict) {
    case order_verdict::accepted:
    case order_verdict::nothing_to_do:
        return 200;
    case order_verdict::old_fencing:
        return 412;
    case order_verdict::no_slot:
    case order_verdict::in_use:
    case order_verdict::loading:
        return 409;
    }
    return 500;
}

char const* text_of(order_verdict verdict) {
    switch (verdict) {
    case order_verdict::accepted:
        return "{\"result\":\"done\"}";
    case order_verdict::nothing_to_do:
        return "{\"result\":\"nothing-to-do\"}";
    case order_verdict::old_fencing:
        return "{\"error\":\"old-fencing\"}";
    case order_verdict::no_slot:
        return "{\"error\":\"no-slot\"}";
    case order_verdict::in_use:
        return "{\"error\":\"in-use\"}";
    case order_verdict::loading:
        return "{\"error\":\"loading\"}";
    }
    return "{}";
}

std::uint32_t number_of(std::string_view text) {
    std::uint32_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// Counts a reader of a run for as long as it lives.
class reader_count {
public:
    explicit reader_count(run_batch::run_ptr run)
        : run_(std::move(run)) {
        ++run_->readers;
    }
    ~reader_count() {
        --run_->readers;
        run_->last_reader_left = clock_now();
    }
    reader_count(reader_count const&) = delete;
    reader_count& operator=(reader_count const&) = delete;

private:
    run_batch::run_ptr run_;
};

} // namespace

engine_http::engine_http(
    asio::io_context& io, engine_settings const& settings,
    std::string const& store)
    : io_(io)
    , engine_(settings)
    , store_(camphorpoint::parse_address(store))
    , work_(io.get_executor())
    , stepped_(io.get_executor()) {}

void engine_http::start() {
    engine_.observe(clock_now());
    asio::co_spawn(io_, run_steps(), asio::detached);
    asio::co_spawn(io_, take_snapshots(), asio::detached);
}

asio::awaitable<void> engine_http::run_steps() {
    for (;;) {
        while (engine_.batch().running() == 0) {
            co_await work_.wait();
        }
        std::chrono::duration<double, std::milli> const time =
            engine_.batch().step_time() * slow_;
        co_await wait_for(
            std::chrono::duration_cast<std::chrono::milliseconds>(time));
        while (stalled_) {
            co_await wait_for(stall_check);
        }
        engine_.step(clock_now());
        stepped_.notify_all();
    }
}

asio::awaitable<void> engine_http::take_snapshots() {
    for (;;) {
        co_await wait_for(snapshot_period);
        engine_.observe(clock_now());
        engine_.batch().forget_old(clock_now());
    }
}

asio::awaitable<void> engine_http::answer(http_exchange& exchange) {
    constexpr std::string_view streams = "/v1/streams/";
    camphorpoint::http_request const& request = exchange.request();
    std::string_view const path = camphorpoint::path_of(request.target);
    if (path == "/v1/chat/completions") {
        co_await complete(exchange);
    } else if (path.starts_with(streams)) {
        std::string id(path.substr(streams.size()));
        co_await resume(exchange, std::move(id));
    } else if (path == "/orders") {
        co_await order(exchange);
    } else if (path == "/report") {
        engine_snapshot const& seen = engine_.reports().read(clock_now());
        std::string const text = report_text(seen, clock_now());
        co_await exchange.respond(json_response(200, text));
    } else if (path == "/cache-events") {
        std::uint64_t const from =
            number_of(camphorpoint::query_value(request.target, "from"));
        std::string const text =
            engine_.prefix_events().read(from, clock_now());
        co_await exchange.respond(json_response(200, text));
    } else if (path == "/records") {
        std::string const text = engine_.records().describe();
        co_await exchange.respond(json_response(200, text));
    } else if (path == "/admin") {
        administer(json_body(request.body));
        co_await exchange.respond(json_response(200, "{}"));
    } else {
        co_await exchange.respond(json_response(404, "{}"));
    }
}

void engine_http::administer(json_body const& order) {
    slow_ = order.number("slow", slow_);
    cut_streams_ = order.integer("cut_streams", cut_streams_);
    stalled_ = order.flag("stalled", stalled_);
    if (order.has("leaving")) {
        engine_.set_leaving(order.flag("leaving", false));
    }
    if (order.flag("restart", false)) {
        engine_.restart(clock_now());
        stepped_.notify_all();
    }
}

asio::awaitable<void> engine_http::complete(http_exchange& exchange) {
    auto const wanted =
        read_completion(exchange.request(), engine_.settings().default_tokens);
    if (!wanted) {
        co_await respond_named(
            exchange, json_response(400, "{\"error\":\"bad-request\"}"));
        co_return;
    }
    submit_result const result = engine_.submit(*wanted, clock_now());
    if (result.verdict == submit_verdict::not_loaded) {
        co_await respond_named(
            exchange, json_response(409, "{\"error\":\"not-loaded\"}"));
        co_return;
    }
    if (result.run == nullptr) {
        std::string const text = result.verdict == submit_verdict::busy
                                     ? "{\"error\":\"busy\"}"
                                     : "{\"error\":\"leaving\"}";
        co_await respond_named(exchange, json_response(503, text));
        co_return;
    }
    work_.notify_all();
    co_await stream(exchange, result.run, 0);
}

asio::awaitable<void>
engine_http::resume(http_exchange& exchange, std::string request) {
    run_batch::run_ptr const run = engine_.batch().find(request);
    if (run == nullptr) {
        co_await respond_named(
            exchange, json_response(404, "{\"error\":\"unknown-stream\"}"));
        co_return;
    }
    if (exchange.request().method == "DELETE") {
        engine_.cancel(*run, clock_now());
        stepped_.notify_all();
        co_await respond_named(exchange, json_response(200, "{}"));
        co_return;
    }
    std::uint32_t const from =
        number_of(camphorpoint::query_value(exchange.request().target, "from"));
    co_await stream(exchange, run, from);
}

asio::awaitable<void> engine_http::stream(
    http_exchange& exchange, run_batch::run_ptr run, std::uint32_t from) {
    reader_count const counted(run);
    camphorpoint::http_fields fields;
    fields.add("Content-Type", "text/event-stream");
    fields.add("X-Request-Id", run->order.request);
    if (!co_await exchange.begin_stream(200, fields)) {
        co_return;
    }
    auto const gone = std::make_shared<bool>(false);
    exchange.on_caller_gone([this, gone] {
        *gone = true;
        stepped_.notify_all();
    });
    std::uint32_t sent = from;
    while (!*gone) {
        std::uint32_t const produced = run->produced;
        if (!co_await write_tokens(exchange, *run, sent, produced)) {
            co_return;
        }
        sent = std::max(sent, produced);
        if (cut_this(*run, sent)) {
            break;
        }
        if (run->state == run_state::finished && sent >= run->produced) {
            std::string const last = closing_events(*run);
            co_await exchange.write_piece(last);
            break;
        }
        if (sent >= run->produced && run->active()) {
            co_await stepped_.wait();
        }
        if (run->state == run_state::cancelled) {
            break;
        }
    }
    // A cut or cancelled stream ends without its closing events.
    co_await exchange.end_stream();
}

asio::awaitable<bool> engine_http::write_tokens(
    http_exchange& exchange, engine_run const& run, std::uint32_t from,
    std::uint32_t to) {
    std::string text;
    for (std::uint32_t index = from; index < to; ++index) {
        text += token_event(run, index);
    }
    if (text.empty()) {
        co_return true;
    }
    co_return co_await exchange.write_piece(text);
}

bool engine_http::cut_this(engine_run const& run, std::uint32_t sent) {
    if (cut_streams_ <= 0 || sent == 0 || !run.active()) {
        return false;
    }
    --cut_streams_;
    return true;
}

asio::awaitable<void> engine_http::order(http_exchange& exchange) {
    json_body const body(exchange.request().body);
    camphorpoint::adapter_ref adapter;
    adapter.id = camphorpoint::adapter_id(body.text("adapter"));
    adapter.version = static_cast<std::uint32_t>(body.integer("version", 0));
    auto const fencing = static_cast<std::uint64_t>(body.integer("fencing", 0));
    std::string const kind = body.text("order");
    camphorpoint::http_response response = json_response(400, "{}");
    if (kind == "load") {
        response = co_await load(adapter, fencing);
    } else if (kind == "evict") {
        order_verdict const verdict =
            engine_.evict(adapter, fencing, clock_now());
        stepped_.notify_all();
        response = json_response(status_of(verdict), text_of(verdict));
    } else if (kind == "role") {
        response = json_response(200, "{\"result\":\"done\"}");
    }
    co_await exchange.respond(response);
}

asio::awaitable<camphorpoint::http_response>
engine_http::load(camphorpoint::adapter_ref adapter, std::uint64_t fencing) {
    order_verdict const verdict = engine_.begin_load(adapter, fencing);
    if (verdict != order_verdict::accepted) {
        co_return json_response(status_of(verdict), text_of(verdict));
    }
    std::uint64_t const incarnation = engine_.incarnation();
    bool const fetched = co_await fetch(adapter);
    co_await wait_for(engine_.settings().load_time);
    bool const loaded =
        engine_.load_ended(adapter, fetched, incarnation, clock_now());
    if (!loaded) {
        co_return json_response(500, "{\"error\":\"load-failed\"}");
    }
    co_return json_response(200, text_of(verdict));
}

asio::awaitable<bool> engine_http::fetch(camphorpoint::adapter_ref adapter) {
    if (store_.port == 0) {
        co_return true;
    }
    camphorpoint::http_request request;
    request.method = "POST";
    request.target = "/fetch";
    request.body = boost::json::serialize(boost::json::object{
        {"adapter", adapter.id.str()}, {"version", adapter.version}});
    camphorpoint::fetch_result const got = co_await camphorpoint::fetch(
        io_.get_executor(), store_, request, fetch_timeout);
    co_return got.how ==
        camphorpoint::call_result::answered&& got.response.status == 200;
}

} // namespace standins
