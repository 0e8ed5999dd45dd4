#include "app/load/load_driver.hpp"

#include "Operator/json_reading.hpp"
#include "Ports/http_client.hpp"
#include "app/load/caller_wire.hpp"
#include "app/load/service_caller.hpp"
#include "app/load/stream_caller.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <charconv>
#include <chrono>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr std::chrono::milliseconds report_timeout{2'000};
constexpr std::uint32_t probe_tokens = 8;
// Keys and probes draw from numbers of their own, so that the plan stays the
// same whatever the answers are.
constexpr std::uint64_t other_stream = 0x9e3779b97f4a7c15ULL;

request_result result_of(planned_request const& planned) {
    request_result result;
    result.number = planned.number;
    std::string const name = planned.wanted.name.str();
    result.task = planned.to_engine() ? name.substr(0, name.rfind('-')) : name;
    result.to_engine = planned.to_engine();
    result.idempotent = planned.wanted.idempotent;
    result.work = work_of(planned);
    return result;
}

/// @returns the adapter's number in names such as inventarwerk-00042
std::size_t number_of(adapter_id const& adapter) {
    std::string const& text = adapter.str();
    std::size_t number = 0;
    std::size_t const dash = text.rfind('-');
    if (dash != std::string::npos) {
        std::from_chars(
            text.data() + dash + 1, text.data() + text.size(), number);
    }
    return number;
}

} // namespace

load_driver::load_driver(load_settings settings, load_targets targets)
    : settings_(std::move(settings))
    , targets_(std::move(targets))
    , io_(1)
    , random_(settings_.seed ^ other_stream) {}

load_report const& load_driver::run() {
    asio::co_spawn(io_, make_requests(), asio::detached);
    if (targets_.direct_rate > 0 && !targets_.engines.empty()) {
        asio::co_spawn(io_, make_probes(), asio::detached);
    }
    io_.run();
    return report_;
}

asio::awaitable<void> load_driver::make_requests() {
    load_plan plan(settings_);
    asio::steady_timer timer(io_);
    auto const start = std::chrono::steady_clock::now();
    while (auto planned = plan.next()) {
        timer.expires_at(start + planned->at);
        co_await timer.async_wait(asio::use_awaitable);
        asio::co_spawn(io_, make_one(std::move(*planned)), asio::detached);
    }
}

asio::awaitable<void> load_driver::make_one(planned_request planned) {
    request_result result = result_of(planned);
    std::string const key = planned.keyed ? new_key() : "";
    if (planned.repeat_after) {
        result.repeated = true;
        co_await (
            call_node(planned, key, result) &&
            make_repeat(planned, key, result.repeat_end));
    } else {
        co_await call_node(planned, key, result);
    }
    report_.add(std::move(result));
}

asio::awaitable<void> load_driver::make_repeat(
    planned_request planned, std::string key, seen_end& end) {
    asio::steady_timer timer(io_, *planned.repeat_after);
    co_await timer.async_wait(asio::use_awaitable);
    // The same request through another node, as from a phone that lost its
    // network and found it again; it reads to the end.
    ++planned.entry_node;
    planned.break_after.reset();
    request_result result = result_of(planned);
    co_await call_node(planned, key, result);
    end = result.end;
}

asio::awaitable<void> load_driver::call_node(
    planned_request const& planned, std::string key, request_result& result) {
    http_request request = node_request(planned, std::move(key));
    if (!planned.to_engine()) {
        co_await call_service(
            io_.get_executor(), targets_.nodes, planned, std::move(request),
            result);
        co_return;
    }
    stream_caller caller(
        io_.get_executor(), targets_.nodes, planned, targets_.versions);
    co_await caller.run(std::move(request), result);
}

asio::awaitable<void> load_driver::make_probes() {
    asio::steady_timer timer(io_);
    auto const start = std::chrono::steady_clock::now();
    std::exponential_distribution<double> gap(targets_.direct_rate);
    std::chrono::duration<double> at{};
    for (;;) {
        at += std::chrono::duration<double>(gap(random_));
        if (at >= settings_.length) {
            co_return;
        }
        timer.expires_at(
            start +
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                at));
        co_await timer.async_wait(asio::use_awaitable);
        asio::co_spawn(io_, probe_pair(probes_++), asio::detached);
    }
}

asio::awaitable<void> load_driver::probe_pair(std::uint64_t number) {
    std::string const engine =
        targets_.engines[random_() % targets_.engines.size()];
    adapter_ref const adapter = co_await resident_adapter(engine);
    if (adapter.version == 0) {
        co_return;
    }
    planned_request planned;
    planned.number = number;
    planned.wanted =
        make_profile(settings_.site, number_of(adapter.id), adapter.version);
    if (!planned.wanted.idempotent) {
        co_return;
    }
    planned.tokens = probe_tokens;
    planned.entry_node = static_cast<std::uint32_t>(random_());
    request_result direct;
    request_result through;
    // Which of the two goes first changes from pair to pair: the second meets
    // an engine that has just been used.
    if (number % 2 == 0) {
        co_await probe_engine(planned, engine, adapter, direct);
        co_await probe_node(planned, through);
    } else {
        co_await probe_node(planned, through);
        co_await probe_engine(planned, engine, adapter, direct);
    }
    // An engine without a node refuses when the adapter has gone in between:
    // the pair says nothing of latency then, and wrong answers still count.
    if (direct.end == seen_end::done || direct.end == seen_end::wrong) {
        report_.add(std::move(direct));
        report_.add(std::move(through));
    }
}

asio::awaitable<void> load_driver::probe_engine(
    planned_request planned, std::string engine, adapter_ref adapter,
    request_result& result) {
    planned.prompt = fmt::format("direct probe {}", planned.number);
    result = result_of(planned);
    result.probe = true;
    result.direct = true;
    entry_nodes const only_engine({engine});
    stream_caller caller(
        io_.get_executor(), only_engine, planned, targets_.versions);
    http_request request = engine_request_of(
        planned, adapter, fmt::format("direct-{}", planned.number));
    co_await caller.run(std::move(request), result);
}

asio::awaitable<void>
load_driver::probe_node(planned_request planned, request_result& result) {
    planned.prompt = fmt::format("node probe {}", planned.number);
    result = result_of(planned);
    result.probe = true;
    co_await call_node(planned, "", result);
}

asio::awaitable<adapter_ref>
load_driver::resident_adapter(std::string const& engine) {
    http_request request;
    request.target = "/report";
    fetch_result const got = co_await fetch(
        io_.get_executor(), parse_address(engine), request, report_timeout);
    json_reading const report(got.response.body);
    auto const resident = report.objects("resident");
    adapter_ref result;
    if (got.how != call_result::answered || resident.empty()) {
        co_return result;
    }
    json_reading const& chosen = resident[random_() % resident.size()];
    result.id = adapter_id(chosen.text("adapter"));
    result.version = static_cast<std::uint32_t>(chosen.number("version"));
    co_return result;
}

std::string load_driver::new_key() {
    // UUIDv7 (RFC 9562): 48 bits of milliseconds, then version, random bits,
    // variant, random bits.
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    auto const time = static_cast<std::uint64_t>(now.count());
    std::uint64_t const low = random_();
    std::uint64_t const high = random_();
    return fmt::format(
        "{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", time >> 16U, time & 0xffffU,
        high & 0xfffU, 0x8000U | ((high >> 12U) & 0x3fffU),
        low & 0xffffffffffffU);
}

} // namespace camphorpoint
