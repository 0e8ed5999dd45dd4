#pragma once

#include "Ports/async_signal.hpp"
#include "Ports/caller_request_reader.hpp"
#include "Ports/engine_http.hpp"
#include "Ports/http_server.hpp"
#include "Ports/stream_position.hpp"
#include "Serving/node_action.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace camphorpoint {

/// A caller's request between the caller interface, which alone writes to the
/// connection, and the attempts, which bring pieces of the answer.
///
/// All that waits for the caller is bounded: an attempt whose piece finds no
/// room waits, which slows the engine's stream by TCP's flow control.
class caller_call {
public:
    /// @param executor of the loop that owns all
    /// @param id       the request's id
    /// @param form     what the answer is to look like
    /// @param body     what endpoints are sent
    /// @param key      the caller's idempotency key; empty for none
    caller_call(
        boost::asio::any_io_executor executor, request_id id, answer_form form,
        std::string body, std::string key);

    /// @returns the request's id
    request_id const& id() const noexcept { return id_; }
    /// @returns the form of the answer
    answer_form form() const noexcept { return form_; }
    /// @returns what endpoints are sent
    std::string const& body() const noexcept { return body_; }
    /// @returns the caller's idempotency key; empty for none
    std::string const& key() const noexcept { return key_; }
    /// @returns tokens that came from engines, over all attempts
    std::uint32_t received() const noexcept { return received_; }
    /// @returns tokens that were handed on to the caller
    std::uint32_t delivered() const noexcept {
        return form_ == answer_form::stream ? received_ : 0;
    }

    /// A new attempt begins.
    /// @param start what it runs on
    /// @returns false when its first token doesn't follow what the caller has
    ///          got: then it must not run
    bool begin_attempt(start_attempt const& start);
    /// Takes a checked piece, once there is room.
    /// @returns false when nobody wants the rest
    boost::asio::awaitable<bool> put(engine_piece const& piece);
    /// Takes a plain service's whole answer.
    void put_answer(std::string answer);
    /// @returns the whole answer in the form in which it is kept for repeats;
    /// empty when it was too long to keep
    std::string whole_answer() const;

    /// The request has ended.
    void finish(finish_request end);
    /// @returns true when the request has ended
    bool finished() const noexcept { return end_.has_value(); }
    /// The caller is gone: nothing is written any more.
    void abandon();
    /// Writes the answer until the request has ended.
    boost::asio::awaitable<void> deliver(http_exchange& exchange);

private:
    boost::asio::awaitable<void> deliver_stream(http_exchange& exchange);
    boost::asio::awaitable<void> deliver_whole(http_exchange& exchange);
    http_fields stream_fields() const;
    http_response whole_response() const;

    request_id id_;
    answer_form form_;
    std::string body_;
    std::string key_;
    stream_position position_;
    std::uint32_t received_ = 0;
    // The answer's text so far; kept only where it is needed whole.
    std::string text_;
    bool keep_text_ = false;
    bool too_long_ = false;
    // Events that wait for the caller.
    std::string waiting_;
    std::optional<finish_request> end_;
    bool gone_ = false;
    async_signal work_;
    async_signal room_;
};

} // namespace camphorpoint
