#include "Node/operator_interface.hpp"

#include "Config/config_record.hpp"
#include "Node/status_json.hpp"
#include "Operator/change_history.hpp"
#include "Operator/configuration_view.hpp"
#include "Operator/profile_listing.hpp"
#include "Operator/publish_answer.hpp"

#include <chrono>
#include <utility>
#include <variant>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

constexpr std::string_view changes_path = "/changes";
constexpr std::string_view change_prefix = "/changes/";
// Longer than a publisher tries before it says "unknown".
constexpr std::chrono::milliseconds publish_wait{25'000};
constexpr int ok = 200;
constexpr int accepted = 202;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int not_allowed = 405;
constexpr int conflict = 409;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

http_response json_answer(int status, std::string body) {
    http_response response;
    response.status = status;
    response.fields.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

http_response text_answer(std::string body, std::string type) {
    http_response response;
    response.fields.add("Content-Type", std::move(type));
    response.body = std::move(body);
    return response;
}

/// Counts for as long as it lives.
class count_guard {
public:
    explicit count_guard(std::shared_ptr<std::size_t> count)
        : count_(std::move(count)) {
        ++*count_;
    }
    ~count_guard() { --*count_; }
    count_guard(count_guard const&) = delete;
    count_guard& operator=(count_guard const&) = delete;

private:
    std::shared_ptr<std::size_t> count_;
};

int status_of_answer(publish_answer const& answer) {
    if (!answer.known) {
        return gateway_timeout;
    }
    if (answer.accepted) {
        return ok;
    }
    return answer.conflict ? conflict : bad_request;
}

} // namespace

operator_interface::operator_interface(
    asio::any_io_executor const& executor, http_limits limits,
    operator_view view)
    : view_(std::move(view))
    , desk_(executor)
    , server_(executor, std::move(limits), [this](http_exchange& exchange) {
        return answer(exchange);
    }) {}

std::string operator_interface::listen(ip_address const& address) {
    return server_.listen(address);
}

asio::awaitable<void> operator_interface::answer(http_exchange& exchange) {
    count_guard const counted(answering_);
    http_response response = co_await respond(exchange.request());
    co_await exchange.respond(std::move(response));
}

asio::awaitable<http_response>
operator_interface::respond(http_request const& request) {
    std::string_view const path = path_of(request.target);
    if (request.method == "GET") {
        co_return read(path);
    }
    if (request.method == "POST" && path == changes_path) {
        std::string record = request.body.text();
        co_return co_await publish(std::move(record));
    }
    if (request.method == "POST" && path == "/drain") {
        view_.drain();
        co_return json_answer(accepted, "{\"draining\":true}\n");
    }
    co_return json_answer(not_allowed, "{}\n");
}

http_response operator_interface::read(std::string_view path) {
    if (path == "/healthz") {
        return text_answer("ok\n", "text/plain");
    }
    if (path == "/readyz") {
        node_status const status = view_.status();
        return json_answer(
            status.ready ? ok : unavailable, write_readiness(status));
    }
    if (path == "/status") {
        return json_answer(ok, write_status(view_.status()));
    }
    if (path == "/metrics") {
        return text_answer(view_.metrics(), "text/plain; version=0.0.4");
    }
    if (path == "/profiles") {
        return json_answer(ok, encode(list_profiles(view_.in_force())));
    }
    if (path == changes_path) {
        return json_answer(ok, encode(list_changes(view_.in_force())));
    }
    if (path.starts_with(change_prefix)) {
        change_id const id(std::string(path.substr(change_prefix.size())));
        return json_answer(ok, encode(answer_about(view_.in_force(), id)));
    }
    return json_answer(not_found, "{}\n");
}

asio::awaitable<http_response> operator_interface::publish(std::string record) {
    publish_answer answer;
    auto const decoded = decode(record);
    change const* wanted =
        decoded ? std::get_if<change>(&decoded.value()) : nullptr;
    if (wanted == nullptr) {
        answer.problems = {
            decoded ? "the record is no change" : decoded.error().what};
        co_return json_answer(bad_request, encode(answer));
    }
    std::uint64_t const number = desk_.open();
    view_.publish(number, std::move(record));
    auto const end = co_await desk_.wait(number, publish_wait);
    answer.known = end && end->known;
    if (answer.known) {
        answer.accepted = end->accepted;
        answer.offset = end->offset;
        answer.problems = end->problems;
        answer.conflict = answer_about(view_.in_force(), wanted->id).conflict;
    }
    co_return json_answer(status_of_answer(answer), encode(answer));
}

} // namespace camphorpoint
