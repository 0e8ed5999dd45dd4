#include "Ports/caller_interface.hpp"

#include "Ports/caller_answer.hpp"
#include "Ports/uuid_v7.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <utility>
#include <variant>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

/// Removes a call from the table when its exchange ends, however it ends.
class call_entry {
public:
    using table = std::map<request_id, caller_interface::call_ptr>;

    call_entry(std::shared_ptr<table> calls, caller_interface::call_ptr call)
        : calls_(std::move(calls))
        , call_(std::move(call)) {
        calls_->emplace(call_->id(), call_);
    }
    ~call_entry() {
        call_->abandon();
        calls_->erase(call_->id());
    }
    call_entry(call_entry const&) = delete;
    call_entry& operator=(call_entry const&) = delete;

private:
    std::shared_ptr<table> calls_;
    caller_interface::call_ptr call_;
};

http_response refuse(caller_refusal const& refusal) {
    finish_request end;
    end.how = outcome::not_run;
    end.why = refusal.why;
    http_response response = error_answer(end, refusal.what);
    response.status = refusal.status;
    return response;
}

} // namespace

caller_interface::caller_interface(
    asio::any_io_executor const& executor, http_limits limits, node_id node,
    std::uint64_t run, event_sink events)
    : executor_(executor)
    , node_(std::move(node))
    , run_(run)
    , random_(std::random_device()())
    , events_(std::move(events))
    , server_(executor, std::move(limits), [this](http_exchange& exchange) {
        return answer(exchange);
    }) {}

std::string caller_interface::listen(ip_address const& address) {
    return server_.listen(address);
}

void caller_interface::finish_connections() {
    server_.stop_accepting();
    server_.finish_connections();
}

caller_interface::call_ptr caller_interface::find(request_id const& id) const {
    auto const found = calls_->find(id);
    return found == calls_->end() ? nullptr : found->second;
}

request_id caller_interface::next_id() {
    return request_id(fmt::format("{}-{:x}-{}", node_.str(), run_, next_++));
}

http_response caller_interface::key_answer() {
    wall_time const when = wall_now();
    http_response response;
    response.fields.add("Content-Type", "application/json");
    response.fields.add("Cache-Control", "no-store");
    response.body = boost::json::serialize(boost::json::object{
        {"key", make_uuid_v7(when, random_)},
        {"time_ms", when.time_since_epoch().count()}});
    return response;
}

asio::awaitable<void> caller_interface::answer(http_exchange& exchange) {
    caller_wish wish = read_caller_wish(exchange.request(), next_id());
    if (auto* work = std::get_if<caller_work>(&wish)) {
        std::string key =
            work->request.key ? work->request.key->str() : std::string();
        auto const call = std::make_shared<caller_call>(
            executor_, work->request.id, work->form, std::move(work->body),
            std::move(key));
        node_event event(std::move(work->request));
        co_await serve(exchange, call, std::move(event));
    } else if (auto* rest = std::get_if<caller_rest>(&wish)) {
        auto const call = std::make_shared<caller_call>(
            executor_, rest->request.id, answer_form::stream, std::string(),
            std::string());
        node_event event(std::move(rest->request));
        co_await serve(exchange, call, std::move(event));
    } else if (auto const* refusal = std::get_if<caller_refusal>(&wish)) {
        http_response response = refuse(*refusal);
        co_await exchange.respond(std::move(response));
    } else {
        http_response response = key_answer();
        co_await exchange.respond(std::move(response));
    }
}

asio::awaitable<void> caller_interface::serve(
    http_exchange& exchange, call_ptr call, node_event event) {
    call_entry const entry(calls_, call);
    exchange.on_caller_gone([call] { call->abandon(); });
    events_(std::move(event));
    co_await call->deliver(exchange);
    if (!call->finished()) {
        events_(caller_disconnected{call->id()});
    }
}

} // namespace camphorpoint
