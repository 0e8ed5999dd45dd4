#include "Gateway/gateway.hpp"
#include "Gateway/request_flow.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <memory>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

/// Counts an exchange for as long as it is answered.
class answering_guard {
public:
    explicit answering_guard(std::shared_ptr<std::size_t> count)
        : count_(std::move(count)) {
        ++*count_;
    }
    ~answering_guard() { --*count_; }
    answering_guard(answering_guard const&) = delete;
    answering_guard& operator=(answering_guard const&) = delete;

private:
    std::shared_ptr<std::size_t> count_;
};

} // namespace

asio::awaitable<void> gateway::answer(http_exchange& exchange) {
    answering_guard const counted(answering_);
    request_flow flow(beliefs_, words_, exchange);
    co_await flow.run();
}

asio::awaitable<void> gateway::answer_readiness(http_exchange& exchange) {
    answering_guard const counted(answering_);
    http_response answer;
    answer.status = ready() ? status_ok : status_unavailable;
    co_await exchange.respond(std::move(answer));
}

void gateway::set_talk_metrics() {
    for (std::size_t each = 0; each < platform::store_call_kinds; ++each) {
        auto const kind = static_cast<platform::store_call>(each);
        beliefs_.metrics.set(
            fmt::format("store_calls_{}", platform::to_string(kind)),
            static_cast<double>(store_.calls().at(each)));
    }
    for (std::size_t each = 0; each < word_kinds; ++each) {
        std::string_view const kind = to_string(static_cast<word_kind>(each));
        sent_words const& sent = words_.sent().at(each);
        beliefs_.metrics.set(
            fmt::format("datagrams_{}", kind),
            static_cast<double>(sent.datagrams));
        beliefs_.metrics.set(
            fmt::format("datagram_bytes_{}", kind),
            static_cast<double>(sent.bytes));
        beliefs_.metrics.set(
            fmt::format("datagram_bytes_across_{}", kind),
            static_cast<double>(sent.bytes_across));
    }
}

// By it one sees in the log alone which node costs what, and by which kind of
// call or word. Counts since the start, so that a line that is dropped loses
// nothing.
void gateway::note_talk() {
    log_line line(event_code::talk_counted);
    line.with("nodes", beliefs_.nodes()).with("rank", beliefs_.members.rank());
    for (std::size_t each = 0; each < platform::store_call_kinds; ++each) {
        auto const kind = static_cast<platform::store_call>(each);
        line.with(to_string(kind), store_.calls().at(each));
    }
    for (std::size_t each = 0; each < word_kinds; ++each) {
        sent_words const& sent = words_.sent().at(each);
        line.with(
            to_string(static_cast<word_kind>(each)),
            fmt::format(
                "{}/{}/{}", sent.datagrams, sent.bytes, sent.bytes_across));
    }
    beliefs_.note(line);
}

http_response gateway::metrics_answer() {
    beliefs_.metrics.set("requests", beliefs_.live_requests);
    beliefs_.metrics.set(
        "waiting_for_loads", static_cast<double>(beliefs_.waiters.size()));
    beliefs_.metrics.set(
        "partitions", static_cast<double>(beliefs_.leases.held().size()));
    beliefs_.metrics.set("nodes", beliefs_.nodes());
    beliefs_.metrics.set("rank", static_cast<double>(beliefs_.members.rank()));
    set_talk_metrics();
    http_response answer;
    answer.fields.add("Content-Type", "text/plain");
    answer.body = beliefs_.metrics.text();
    return answer;
}

asio::awaitable<void> gateway::answer_metrics(http_exchange& exchange) {
    answering_guard const counted(answering_);
    http_response answer = metrics_answer();
    co_await exchange.respond(std::move(answer));
}

} // namespace camphorpoint
