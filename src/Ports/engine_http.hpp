#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"
#include "Ports/concepts.hpp"
#include "Ports/http_client.hpp"
#include "Ports/http_pool.hpp"
#include "Serving/node_event.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// A request as an engine is sent it.
struct engine_request {
    std::string address;
    /// What the engine knows the stream by; its answer must bear the same.
    request_id id;
    adapter_ref adapter;
    urgency how_urgent = urgency::normal;
    /// The caller's completion request, whose model is replaced; unused when a
    /// stream is resumed.
    std::string body;
    /// More than 0 resumes the stream that the engine knows by the id.
    std::uint32_t from_token = 0;
    /// True to resume also from token 0.
    bool resume = false;
    /// Not a byte is sent from here on.
    instant send_before = instant::max();
    /// Here the stream is closed.
    instant deadline = instant::max();
};

/// A checked piece of an engine's answer.
struct engine_piece {
    /// Tokens of the whole answer with this piece.
    std::uint32_t tokens = 0;
    /// The event's data, a chat.completion.chunk.
    std::string data;
    /// What the piece adds to the answer's text.
    std::string text;
};

/// Takes pieces in order; the next is read when the last has been taken, so a
/// slow caller slows the engine's stream and nothing piles up here.
/// @returns false when nobody wants the rest
using engine_sink =
    std::function<boost::asio::awaitable<bool>(engine_piece const&)>;

/// How a stream ended.
struct engine_stream_end {
    attempt_result how = attempt_result::not_sent;
    /// Tokens of the whole answer that the sink has taken or was offered.
    std::uint32_t tokens = 0;
    int status = 0;
    /// What the engine's answer says of its next requests.
    endpoint_notice notice{};
};

/// Reads an engine's report on itself.
/// @param body of any origin
std::optional<engine_report>
parse_engine_report(std::string_view body, endpoint_id replica);

/// A model engine over HTTP.
class engine_http {
public:
    /// @param executor where calls run
    /// @param pool     must outlive the port
    /// @param timeout  bounds calls that are not streams, and each wait for a
    ///                 connection; loads may take longer
    engine_http(
        boost::asio::any_io_executor executor, http_pool& pool,
        std::chrono::milliseconds timeout);

    /// Runs one request, or resumes its stream.
    /// @param call    ends the stream when it is cancelled
    /// @param request what to run
    /// @param sink    takes the pieces, each checked
    boost::asio::awaitable<engine_stream_end>
    run(http_call& call, engine_request request, engine_sink sink);
    /// Tells an engine that a stream is not wanted any more. Closing the
    /// connection alone leaves it running for the resume's sake.
    boost::asio::awaitable<void>
    cancel_stream(std::string address, request_id id);
    /// Gives an order; nothing is sent past its not_after.
    boost::asio::awaitable<order_result>
    order(engine_order order, std::string address);
    /// Reads an engine's report. Its age counts from when it was asked for, so
    /// that it never seems newer than it is.
    /// @returns the engine's report, or nothing when it did not come in time
    boost::asio::awaitable<std::optional<engine_report>>
    report(endpoint_id replica, std::string address);

private:
    boost::asio::awaitable<engine_stream_end>
    relay(http_call& call, engine_request const& request, engine_sink sink);

    boost::asio::any_io_executor executor_;
    http_pool* pool_;
    std::chrono::milliseconds timeout_;
};

static_assert(engine_orders<engine_http>);

} // namespace camphorpoint
