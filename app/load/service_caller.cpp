#include "app/load/service_caller.hpp"

#include "Operator/json_reading.hpp"
#include "Ports/http_client.hpp"
#include "app/load/caller_wire.hpp"

#include <chrono>
#include <string>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds connect_timeout{2'000};
constexpr std::chrono::milliseconds answer_timeout{60'000};
constexpr std::uint32_t most_tries = 8;

void settle(
    http_call const& call, std::string const& body,
    planned_request const& planned, request_result& result) {
    std::string const how = call.field("X-Outcome");
    if (how != "done") {
        result.end = how == "not-run" ? seen_end::not_run : seen_end::unknown;
        result.why = call.field("X-Reason");
        return;
    }
    json_reading const answer(body);
    bool const own = answer.text("echo") == service_body(planned);
    result.end = own ? seen_end::done : seen_end::wrong;
    result.fault = own ? answer_fault::none : answer_fault::wrong_text;
}

asio::awaitable<void> read_answer(
    http_call& call, planned_request const& planned, request_result& result) {
    std::string body;
    while (auto piece = co_await call.next_piece(answer_timeout)) {
        if (piece->empty()) {
            settle(call, body, planned, result);
            co_return;
        }
        body += *piece;
        if (body.size() > largest_answer) {
            co_return;
        }
    }
}

} // namespace

asio::awaitable<void> call_service(
    asio::any_io_executor executor, entry_nodes const& nodes,
    planned_request const& planned, http_request request,
    request_result& result) {
    auto const began = steady_clock::now();
    result.end = seen_end::no_node;
    for (std::uint32_t tries = 0; tries < most_tries; ++tries) {
        http_call call(executor);
        ip_address const& to = nodes.at(planned.entry_node + tries);
        if (!co_await call.connect(to, connect_timeout)) {
            ++result.refused_connections;
            continue;
        }
        result.end = seen_end::cut;
        if (co_await call.send(request, answer_timeout)) {
            co_await read_answer(call, planned, result);
        }
        stated_end const stated{
            true, std::string(to_string(result.end)), result.why};
        if (!sends_elsewhere(stated)) {
            break;
        }
        ++result.refused_connections;
    }
    result.total = duration_cast<microseconds>(steady_clock::now() - began);
}

} // namespace camphorpoint
