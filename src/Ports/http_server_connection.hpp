#pragma once

#include "Core/time.hpp"
#include "Limits/body_budget.hpp"
#include "Ports/connection_end.hpp"
#include "Ports/http_server.hpp"
#include "Ports/request_reader.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// One connection of a server: its requests are answered one after another.
class http_exchange::connection
    : public std::enable_shared_from_this<connection> {
public:
    connection(
        boost::asio::ip::tcp::socket socket,
        std::shared_ptr<http_limits const> limits,
        std::shared_ptr<body_budget> bodies);

    /// Answers requests until the connection ends.
    /// @returns why it has ended; nothing when its caller ended it after a
    ///          whole answer, or when `close` has returned the reason
    boost::asio::awaitable<std::optional<connection_end_report>>
    run(http_handler handler);
    /// Closes at once.
    /// @returns the end of a request that is read or answered, if there is one
    std::optional<connection_end_report> close();
    /// Ends with the next answer behind which no request waits.
    /// @param idle_too ends now when no request has begun
    /// @param limit    requests that wait then are not read
    void end_soon(bool idle_too, instant limit);

    /// The parts of http_exchange.
    boost::asio::awaitable<bool> respond(http_response response);
    boost::asio::awaitable<bool> begin_stream(int status, http_fields fields);
    boost::asio::awaitable<bool> write_piece(std::string_view piece);
    boost::asio::awaitable<bool> end_stream();
    void watch(std::function<void()> gone);
    void check_caller();

private:
    /// How far the answer to the current request has come.
    enum class answer_state : std::uint8_t {
        none,
        /// Its head was written: no other may follow.
        begun,
        whole
    };

    boost::asio::awaitable<std::optional<http_request>> read_request();
    boost::asio::awaitable<boost::beast::error_code>
    read_more(request_reader& reader, instant limit);
    boost::asio::awaitable<std::optional<http_request>>
    read_whole(request_reader& reader);
    /// Asks for memory for the body of the current request.
    /// @param bytes what the body holds in all from here on
    /// @returns false when there is not as much
    bool take_memory(std::size_t bytes);
    boost::asio::awaitable<bool> await_request();
    boost::asio::awaitable<void> await_bytes();
    boost::asio::awaitable<void> read_within(std::chrono::milliseconds time);
    std::chrono::milliseconds idle_timeout() const;
    void read_arrived();
    void skip_empty_lines();
    /// @returns the bytes in the buffer
    std::string_view arrived() const;
    bool request_waits();
    void decide_keep_alive();
    bool may_read_on() const;
    boost::asio::awaitable<void> refuse(request_refusal refusal);
    boost::asio::awaitable<void>
    give_up_request(boost::beast::error_code error);
    boost::asio::awaitable<void> refuse_with(int status, std::string_view why);
    boost::asio::awaitable<void>
    run_handler(http_handler const& handler, http_request request);
    boost::asio::awaitable<void> finish();
    boost::asio::awaitable<void> discard_rest();
    boost::asio::awaitable<void> await_reader();
    bool closed_by_peer();
    void look_again_for_caller(std::uint64_t exchange);
    bool begin_answer(answer_state state);
    connection_end end_of_answer();
    std::optional<connection_end_report> take_report();
    void close_socket();
    /// Lets the caller know that the bytes in the buffer were not read.
    void reset_unread();
    /// Lets the caller know that its request was not read whole.
    void reset_half_read();
    /// @returns true when the caller's kernel has all that was written
    bool answers_arrived();
    void reset_at_close();
    /// Reads what has arrived behind a request that has no whole answer.
    void discard_behind_request();
    bool note_write(boost::beast::error_code error);

    boost::beast::tcp_stream stream_;
    // The server's, which may change between two requests.
    std::shared_ptr<http_limits const> limits_;
    std::chrono::milliseconds first_idle_timeout_;
    std::shared_ptr<body_budget> bodies_;
    /// Of the body that is being read.
    std::shared_ptr<body_budget::share> body_memory_;
    /// Set while a request is read.
    request_reader* reader_ = nullptr;
    boost::beast::flat_buffer buffer_;
    std::function<void()> gone_;
    boost::asio::steady_timer look_timer_;
    std::uint64_t exchange_number_ = 0;
    bool keep_alive_ = true;
    bool ending_ = false;
    instant waiting_limit_{};
    bool idle_ = false;
    bool closing_ = false;
    bool broken_ = false;
    answer_state answer_ = answer_state::none;
    /// The current request was read to its end.
    bool request_whole_ = false;
    /// A request has begun and has no whole answer yet.
    bool in_request_ = false;
    /// Bytes of the current request that left the buffer.
    std::uint64_t request_bytes_ = 0;
    std::string request_id_;
    /// Status of the answer that the handler did not give.
    int own_status_ = 0;
    boost::beast::error_code write_error_;
    std::optional<connection_end> why_;
    bool reported_ = false;
    /// The caller is told that nothing more follows.
    bool sent_all_ = false;
    /// The current request is a HEAD, whose answer has no body.
    bool head_only_ = false;
};

} // namespace camphorpoint
