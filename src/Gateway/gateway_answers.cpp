#include "Gateway/gateway.hpp"
#include "Gateway/request_handler.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

/// Counts an exchange while it is being answered.
class active_exchange_guard {
public:
    explicit active_exchange_guard(std::shared_ptr<std::size_t> count)
        : count_(std::move(count)) {
        ++*count_;
    }
    ~active_exchange_guard() { --*count_; }
    active_exchange_guard(active_exchange_guard const&) = delete;
    active_exchange_guard& operator=(active_exchange_guard const&) = delete;

private:
    std::shared_ptr<std::size_t> count_;
};

} // namespace

asio::awaitable<void> gateway::answer(http_exchange& exchange) {
    active_exchange_guard const counted(active_exchanges_);
    request_handler flow(state_, messenger_, exchange);
    co_await flow.run();
}

asio::awaitable<void> gateway::answer_relayed(http_exchange& exchange) {
    active_exchange_guard const counted(active_exchanges_);
    auto terms = decode_relay_terms(
        exchange.request().fields.get(platform::relay_field));
    if (!terms) {
        http_response refusal = platform::own_answer(
            status_unavailable, exchange.request(), std::nullopt);
        refusal.fields.add(
            std::string(platform::relay_field), std::string(relay_declined));
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    request_handler flow(state_, messenger_, exchange, std::move(terms));
    co_await flow.run();
}

asio::awaitable<void> gateway::answer_readiness(http_exchange& exchange) {
    active_exchange_guard const counted(active_exchanges_);
    http_response answer;
    answer.status = ready() ? status_ok : status_unavailable;
    if (settings_findings_ > 0) {
        answer.body =
            fmt::format("settings: {} findings\n", settings_findings_);
    }
    co_await exchange.respond(std::move(answer));
}

http_response gateway::make_metrics_response() {
    state_.metrics.set_gauge(
        "requests", static_cast<double>(state_.requests.size()));
    state_.metrics.set_gauge(
        "connections_refused",
        static_cast<double>(caller_server_.refused_connections()));
    state_.metrics.set_gauge(
        "loop_delay_seconds",
        std::chrono::duration<double>(loop_delay_.current(boot_clock::now()))
            .count());
    state_.metrics.set_gauge(
        "waiting_for_loads", static_cast<double>(state_.waiters.size()));
    state_.metrics.set_gauge(
        "partitions",
        static_cast<double>(state_.leases.held_partitions().size()));
    state_.metrics.set_gauge(
        "contents_held",
        static_cast<double>(
            state_.quarantine.quarantined_count(boot_clock::now())));
    state_.metrics.set_gauge("teams", static_cast<double>(state_.teams.size()));
    state_.metrics.set_gauge(
        "teams_counted", static_cast<double>(messenger_.counted_teams()));
    state_.metrics.set_gauge("store_era", static_cast<double>(state_.epoch));
    state_.metrics.set_gauge("nodes", state_.nodes());
    state_.metrics.set_gauge(
        "replicas_unreachable", state_.reachability.partitioned() ? 1 : 0);
    state_.metrics.set_gauge(
        "store_calls", static_cast<double>(store_.calls()));
    state_.metrics.set_gauge(
        "settings_findings", static_cast<double>(settings_findings_));
    answer_budget const& answers = *state_.answers;
    state_.metrics.set_gauge(
        "answer_bytes", static_cast<double>(answers.held()));
    state_.metrics.set_gauge(
        "answer_bytes_peak", static_cast<double>(answers.peak()));
    state_.metrics.set_gauge(
        "answers_yielded", static_cast<double>(answers.yields()));
    body_budget const& bodies = *state_.bodies;
    state_.metrics.set_gauge(
        "request_bytes", static_cast<double>(bodies.held()));
    state_.metrics.set_gauge(
        "request_bytes_peak", static_cast<double>(bodies.peak()));
    state_.metrics.set_gauge(
        "requests_yielded", static_cast<double>(bodies.yields()));
    http_response answer;
    answer.fields.add("Content-Type", "text/plain");
    answer.body = state_.metrics.to_text();
    return answer;
}

asio::awaitable<void> gateway::answer_metrics(http_exchange& exchange) {
    active_exchange_guard const counted(active_exchanges_);
    http_response answer = make_metrics_response();
    co_await exchange.respond(std::move(answer));
}

} // namespace camphorpoint
