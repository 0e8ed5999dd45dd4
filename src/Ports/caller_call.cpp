#include "Ports/caller_call.hpp"

#include "Ports/caller_answer.hpp"
#include "Ports/event_stream.hpp"

#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

// Some tens of tokens: enough that no write waits for the next token, little
// enough for thousands of slow callers.
constexpr std::size_t most_waiting = 32U << 10U;
constexpr std::size_t longest_kept = 1U << 20U;

} // namespace

caller_call::caller_call(
    asio::any_io_executor const& executor, request_id id, answer_form form,
    std::string body, std::string key)
    : id_(std::move(id))
    , form_(form)
    , body_(std::move(body))
    , key_(std::move(key))
    , work_(executor)
    , room_(executor) {}

bool caller_call::begin_attempt(start_attempt const& start) {
    if (start.from_token == 0 && form_ != answer_form::stream) {
        // What an earlier attempt brought was seen by nobody.
        received_ = 0;
        text_.clear();
        too_long_ = false;
    }
    bool const first = position_.endpoint.empty();
    // A caller who has seen ten tokens of one run must not get the rest from
    // another run, whose words may differ. Only a resume from the very next
    // token of the same stream goes on; on a resumed request the first attempt
    // sets where it starts.
    if (first) {
        received_ = start.from_token;
    } else if (start.from_token != received_) {
        return false;
    }
    keep_text_ = start.return_answer || form_ == answer_form::whole;
    position_.endpoint = start.endpoint;
    position_.adapter = start.adapter;
    position_.engine_request = start.engine_id;
    return true;
}

asio::awaitable<bool> caller_call::put(engine_piece const& piece) {
    while (waiting_.size() > most_waiting && !gone_ && !end_) {
        co_await room_.wait_until();
    }
    if (end_) {
        co_return false;
    }
    received_ = piece.tokens;
    too_long_ = too_long_ || text_.size() + piece.text.size() > longest_kept;
    if (keep_text_ && !too_long_) {
        text_ += piece.text;
    }
    // A caller that is gone may come back with its idempotency key: whether the
    // rest is still wanted is decided elsewhere, by cancelling the attempt.
    if (form_ == answer_form::stream && !gone_) {
        position_.next_token = piece.tokens;
        waiting_ += write_event({write_position(position_), "", piece.data});
        work_.notify();
    }
    co_return form_ == answer_form::stream || !too_long_;
}

void caller_call::put_answer(std::string answer) {
    text_ = std::move(answer);
}

std::string caller_call::whole_answer() const {
    if (too_long_ || !keep_text_) {
        return form_ == answer_form::service ? text_ : std::string();
    }
    if (form_ == answer_form::service) {
        return text_;
    }
    return write_completion({id_, position_.adapter, text_, received_});
}

void caller_call::finish(finish_request end) {
    end_ = std::move(end);
    work_.notify();
    room_.notify();
}

void caller_call::abandon() {
    gone_ = true;
    work_.notify();
    room_.notify();
}

http_fields caller_call::stream_fields() const {
    http_fields fields;
    fields.add("Content-Type", "text/event-stream");
    fields.add("Cache-Control", "no-store");
    fields.add("X-Request-Id", id_.str());
    if (!position_.adapter.id.empty()) {
        fields.add("X-Adapter", position_.adapter.id.str());
        fields.add(
            "X-Adapter-Version", std::to_string(position_.adapter.version));
    }
    return fields;
}

asio::awaitable<void> caller_call::deliver(http_exchange& exchange) {
    if (form_ == answer_form::stream) {
        co_await deliver_stream(exchange);
    } else {
        co_await deliver_whole(exchange);
    }
}

asio::awaitable<void> caller_call::deliver_stream(http_exchange& exchange) {
    bool begun = false;
    while (!gone_ && (!end_ || !waiting_.empty())) {
        if (waiting_.empty()) {
            co_await work_.wait_until();
            continue;
        }
        if (!begun) {
            begun = true;
            http_fields fields = stream_fields();
            if (!co_await exchange.begin_stream(200, std::move(fields))) {
                gone_ = true;
                break;
            }
        }
        std::string const piece = std::exchange(waiting_, std::string());
        bool const written = co_await exchange.write_piece(piece);
        gone_ = gone_ || !written;
        room_.notify();
    }
    if (gone_) {
        co_return;
    }
    bool const done = end_->how == outcome::done;
    if (!begun && !done) {
        http_response response = error_answer(*end_, "");
        response.fields.add("X-Request-Id", id_.str());
        co_await exchange.respond(std::move(response));
        co_return;
    }
    std::string tail;
    if (!begun) {
        http_fields fields = stream_fields();
        add_outcome(fields, *end_);
        co_await exchange.begin_stream(200, std::move(fields));
        tail = stream_of_completion(end_->kept_answer);
    }
    // Clients of the usual protocol stop reading at [DONE]; an answer that is
    // not whole must not bear it.
    tail += done ? write_event({"", "", "[DONE]"}) : "";
    tail += outcome_event(*end_);
    if (co_await exchange.write_piece(tail)) {
        co_await exchange.end_stream();
    }
}

http_response caller_call::whole_response() const {
    if (end_->how != outcome::done) {
        return error_answer(*end_, "");
    }
    http_response response;
    response.fields.add("Content-Type", "application/json");
    add_outcome(response.fields, *end_);
    if (!position_.adapter.id.empty()) {
        response.fields.add("X-Adapter", position_.adapter.id.str());
        response.fields.add(
            "X-Adapter-Version", std::to_string(position_.adapter.version));
    }
    response.body =
        end_->kept_answer.empty() ? whole_answer() : end_->kept_answer;
    return response;
}

asio::awaitable<void> caller_call::deliver_whole(http_exchange& exchange) {
    while (!gone_ && !end_) {
        co_await work_.wait_until();
    }
    if (gone_) {
        co_return;
    }
    http_response response = whole_response();
    response.fields.add("X-Request-Id", id_.str());
    co_await exchange.respond(std::move(response));
}

} // namespace camphorpoint
