#include "Ports/http_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <set>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr unsigned http_1_1 = 11;

template <class Message>
void copy_fields(http_fields const& from, Message& to) {
    for (http_field const& each : from.all()) {
        to.insert(each.name, each.value);
    }
}

http_response error_response(int status, std::string_view what) {
    http_response response;
    response.status = status;
    response.fields.add("Content-Type", "application/json");
    response.fields.add("X-Outcome", "not-run");
    response.fields.add("X-Reason", std::string(what));
    response.body = "{\"error\":{\"outcome\":\"not-run\",\"reason\":\"" +
                    std::string(what) + "\"}}\n";
    return response;
}

} // namespace

class http_exchange::connection
    : public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket socket, http_limits const& limits)
        : stream_(std::move(socket))
        , limits_(limits) {}

    asio::awaitable<void> run(http_handler handler);
    asio::awaitable<bool> respond(http_response response);
    asio::awaitable<bool> begin_stream(int status, http_fields fields);
    asio::awaitable<bool> write_piece(std::string_view piece);
    asio::awaitable<bool> end_stream();
    void watch(std::function<void()> gone);
    void close() {
        beast::error_code ignored;
        stream_.socket().close(ignored);
    }

private:
    asio::awaitable<bool> read_request(http_request& request);
    bool note_write(beast::error_code error);

    beast::tcp_stream stream_;
    http_limits limits_;
    beast::flat_buffer buffer_;
    std::function<void()> gone_;
    std::uint64_t exchange_number_ = 0;
    bool keep_alive_ = true;
    bool broken_ = false;
};

asio::awaitable<bool>
http_exchange::connection::read_request(http_request& request) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(limits_.body_bytes);
    parser.header_limit(limits_.header_bytes);
    stream_.expires_after(limits_.read_timeout);
    auto const [error, size] =
        co_await http::async_read(stream_, buffer_, parser, use_result);
    stream_.expires_never();
    if (error == http::error::body_limit ||
        error == http::error::header_limit) {
        keep_alive_ = false;
        co_await respond(error_response(413, "request-too-large"));
        co_return false;
    }
    bool const connection_lost =
        error == http::error::end_of_stream || error == beast::error::timeout ||
        error.category() == asio::error::get_system_category();
    if (error && connection_lost) {
        co_return false;
    }
    if (error) {
        keep_alive_ = false;
        co_await respond(error_response(400, "bad-request"));
        co_return false;
    }
    http::request<http::string_body> message = parser.release();
    keep_alive_ = message.keep_alive();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (auto const& field : message) {
        request.fields.add(
            std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    co_return true;
}

asio::awaitable<void> http_exchange::connection::run(http_handler handler) {
    while (keep_alive_ && !broken_) {
        http_request request;
        if (!co_await read_request(request)) {
            break;
        }
        http_exchange exchange(*this, std::move(request));
        co_await handler(exchange);
        gone_ = nullptr;
        ++exchange_number_;
    }
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

bool http_exchange::connection::note_write(beast::error_code error) {
    stream_.expires_never();
    if (error) {
        broken_ = true;
    }
    return !error;
}

asio::awaitable<bool>
http_exchange::connection::respond(http_response response) {
    http::response<http::string_body> message(
        static_cast<http::status>(response.status), http_1_1);
    copy_fields(response.fields, message);
    message.body() = std::move(response.body);
    message.keep_alive(keep_alive_);
    message.prepare_payload();
    stream_.expires_after(limits_.write_timeout);
    auto const [error, size] =
        co_await http::async_write(stream_, message, use_result);
    co_return note_write(error);
}

asio::awaitable<bool>
http_exchange::connection::begin_stream(int status, http_fields fields) {
    http::response<http::empty_body> message(
        static_cast<http::status>(status), http_1_1);
    copy_fields(fields, message);
    message.keep_alive(keep_alive_);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    stream_.expires_after(limits_.write_timeout);
    auto const [error, size] =
        co_await http::async_write_header(stream_, serializer, use_result);
    co_return note_write(error);
}

asio::awaitable<bool>
http_exchange::connection::write_piece(std::string_view piece) {
    stream_.expires_after(limits_.write_timeout);
    auto const [error, size] = co_await asio::async_write(
        stream_, http::make_chunk(asio::buffer(piece.data(), piece.size())),
        use_result);
    co_return note_write(error);
}

asio::awaitable<bool> http_exchange::connection::end_stream() {
    stream_.expires_after(limits_.write_timeout);
    auto const [error, size] = co_await asio::async_write(
        stream_, http::make_chunk_last(), use_result);
    co_return note_write(error);
}

void http_exchange::connection::watch(std::function<void()> gone) {
    gone_ = std::move(gone);
    std::uint64_t const number = exchange_number_;
    // Readable with nothing to read is how a closed connection shows. Bytes to
    // read are the caller's next request, which waits its turn.
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), number](beast::error_code error) {
            if (error || number != self->exchange_number_ || !self->gone_) {
                return;
            }
            beast::error_code failure;
            if (self->stream_.socket().available(failure) == 0 || failure) {
                self->broken_ = true;
                std::exchange(self->gone_, nullptr)();
            }
        });
}

http_exchange::http_exchange(connection& link, http_request request)
    : link_(&link)
    , request_(std::move(request)) {}

asio::awaitable<bool> http_exchange::respond(http_response response) {
    return link_->respond(std::move(response));
}

asio::awaitable<bool>
http_exchange::begin_stream(int status, http_fields fields) {
    return link_->begin_stream(status, std::move(fields));
}

asio::awaitable<bool> http_exchange::write_piece(std::string_view piece) {
    return link_->write_piece(piece);
}

asio::awaitable<bool> http_exchange::end_stream() {
    return link_->end_stream();
}

void http_exchange::on_caller_gone(std::function<void()> gone) {
    link_->watch(std::move(gone));
}

class http_server::state : public std::enable_shared_from_this<state> {
public:
    state(
        asio::any_io_executor executor, http_limits limits,
        http_handler handler)
        : executor_(std::move(executor))
        , acceptor_(executor_)
        , limits_(limits)
        , handler_(std::move(handler)) {}

    std::string listen(ip_address const& address);
    asio::awaitable<void> accept_all();
    asio::awaitable<void>
    serve(std::shared_ptr<http_exchange::connection> link);
    void close();

    tcp::acceptor& acceptor() noexcept { return acceptor_; }
    std::size_t open() const noexcept { return open_.size(); }

private:
    asio::any_io_executor executor_;
    tcp::acceptor acceptor_;
    http_limits limits_;
    http_handler handler_;
    std::set<std::shared_ptr<http_exchange::connection>> open_;
};

std::string http_server::state::listen(ip_address const& address) {
    beast::error_code error;
    auto const host = asio::ip::make_address(address.host, error);
    if (error) {
        return error.message();
    }
    tcp::endpoint const local(host, address.port);
    acceptor_.open(local.protocol(), error);
    if (!error) {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(local, error);
    }
    if (!error) {
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return error.message();
    }
    asio::co_spawn(
        executor_, [self = shared_from_this()] { return self->accept_all(); },
        asio::detached);
    return {};
}

asio::awaitable<void> http_server::state::accept_all() {
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(use_result);
        if (error == asio::error::operation_aborted ||
            error == asio::error::bad_descriptor) {
            co_return;
        }
        // Past the limit a connection is closed at once: callers see a reset
        // and go to another node, and memory stays bounded.
        if (error || open_.size() >= limits_.connections) {
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        auto link = std::make_shared<http_exchange::connection>(
            std::move(socket), limits_);
        open_.insert(link);
        asio::co_spawn(
            executor_,
            [self = shared_from_this(), link] { return self->serve(link); },
            asio::detached);
    }
}

asio::awaitable<void>
http_server::state::serve(std::shared_ptr<http_exchange::connection> link) {
    co_await link->run(handler_);
    open_.erase(link);
}

void http_server::state::close() {
    beast::error_code ignored;
    acceptor_.close(ignored);
    for (auto const& link : open_) {
        link->close();
    }
}

http_server::http_server(
    asio::any_io_executor executor, http_limits limits, http_handler handler)
    : state_(std::make_shared<state>(
          std::move(executor), limits, std::move(handler))) {}

http_server::~http_server() {
    state_->close();
}

std::string http_server::listen(ip_address const& address) {
    return state_->listen(address);
}

std::uint16_t http_server::port() const noexcept {
    beast::error_code ignored;
    return state_->acceptor().local_endpoint(ignored).port();
}

void http_server::stop_accepting() {
    beast::error_code ignored;
    state_->acceptor().close(ignored);
}

void http_server::close() {
    state_->close();
}

std::size_t http_server::open_connections() const noexcept {
    return state_->open();
}

} // namespace camphorpoint
