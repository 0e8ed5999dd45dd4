#include "Ports/http_server.hpp"

#include "Ports/http_server_connection.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <set>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::asio::ip::tcp;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds accept_pause{100};
constexpr std::size_t max_accepted_together = 64;
/// How long a server that ends goes on reading requests that wait behind
/// others.
constexpr std::chrono::seconds time_for_waiting{1};

} // namespace

class http_server::state : public std::enable_shared_from_this<state> {
public:
    state(
        asio::any_io_executor executor, http_limits limits,
        http_handler handler)
        : executor_(std::move(executor))
        , acceptor_(executor_)
        , limits_(std::make_shared<http_limits>(std::move(limits)))
        , handler_(std::move(handler))
        , bodies_(
              limits_->bodies != nullptr
                  ? limits_->bodies
                  : std::make_shared<body_budget>(
                        body_budget_limits{.in_all = limits_->bodies_in_all})) {
    }

    std::string listen(ip_address const& address);
    asio::awaitable<void> accept_all();
    void accept_waiting();
    void take(tcp::socket socket);
    asio::awaitable<void>
    serve(std::shared_ptr<http_exchange::connection> link);
    void close();

    tcp::acceptor& acceptor() noexcept { return acceptor_; }
    std::size_t open() const noexcept { return open_.size(); }
    void set_limits(http_limits limits) { *limits_ = std::move(limits); }
    void refuse_while(std::function<bool()> overloaded) {
        overloaded_ = std::move(overloaded);
    }
    void observe_ends(connection_end_observer observer) {
        observer_ = std::move(observer);
    }
    std::uint64_t refused() const noexcept { return refused_; }
    void end_connections(bool idle_too);

private:
    void report(std::optional<connection_end_report> const& end) const {
        if (end && observer_) {
            observer_(*end);
        }
    }
    void report_unread(tcp::socket const& socket, connection_end why) const;

    asio::any_io_executor executor_;
    tcp::acceptor acceptor_;
    // Shared with the connections.
    std::shared_ptr<http_limits> limits_;
    http_handler handler_;
    std::shared_ptr<body_budget> bodies_;
    std::set<std::shared_ptr<http_exchange::connection>> open_;
    std::function<bool()> overloaded_ = [] {
        return false;
    };
    connection_end_observer observer_;
    std::uint64_t refused_ = 0;
    bool closing_ = false;
    /// Until then requests that wait are read; set once the server ends.
    std::optional<instant> waiting_limit_;
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
    if (!error) {
        acceptor_.non_blocking(true, error);
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
        if (error) {
            // Out of file descriptors, as a rule: without the pause the loop
            // would spin and starve everything else.
            asio::steady_timer timer(executor_, accept_pause);
            co_await timer.async_wait(use_result);
            continue;
        }
        take(std::move(socket));
        accept_waiting();
    }
}

// Takes the connections that wait together with one that was accepted. A turn
// of a busy loop is long; with one connection a turn, callers would give up
// before their requests are read.
void http_server::state::accept_waiting() {
    beast::error_code error;
    for (std::size_t each = 0; each < max_accepted_together && !error; ++each) {
        tcp::socket socket(executor_);
        acceptor_.accept(socket, error);
        if (!error) {
            take(std::move(socket));
        }
    }
}

void http_server::state::report_unread(
    tcp::socket const& socket, connection_end why) const {
    beast::error_code ignored;
    connection_end_report end;
    end.why = why;
    end.bytes_unread = socket.available(ignored);
    report(end);
}

void http_server::state::take(tcp::socket socket) {
    // Past the limit a connection is closed at once: callers see a reset and
    // go to another node, and memory stays bounded.
    if (open_.size() >= limits_->connections) {
        report_unread(socket, connection_end::connection_limit);
        return;
    }
    if (overloaded_()) {
        ++refused_;
        report_unread(socket, connection_end::overload);
        return;
    }
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto link = std::make_shared<http_exchange::connection>(
        std::move(socket), limits_, bodies_);
    if (waiting_limit_) {
        link->end_soon(closing_, *waiting_limit_);
    }
    open_.insert(link);
    asio::co_spawn(
        executor_,
        [self = shared_from_this(), link] { return self->serve(link); },
        asio::detached);
}

asio::awaitable<void>
http_server::state::serve(std::shared_ptr<http_exchange::connection> link) {
    auto const end = co_await link->run(handler_);
    open_.erase(link);
    report(end);
}

void http_server::state::end_connections(bool idle_too) {
    closing_ = closing_ || idle_too;
    waiting_limit_ =
        waiting_limit_.value_or(boot_clock::now() + time_for_waiting);
    for (auto const& link : open_) {
        link->end_soon(idle_too, *waiting_limit_);
    }
}

void http_server::state::close() {
    beast::error_code ignored;
    acceptor_.close(ignored);
    for (auto const& link : open_) {
        report(link->close());
    }
}

http_server::http_server(
    asio::any_io_executor executor, http_limits limits, http_handler handler)
    : state_(std::make_shared<state>(
          std::move(executor), std::move(limits), std::move(handler))) {}

http_server::~http_server() {
    state_->close();
    // Connections may end later, when the observer is gone.
    state_->observe_ends(nullptr);
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

void http_server::finish_connections() {
    state_->end_connections(true);
}

void http_server::announce_end() {
    state_->end_connections(false);
}

void http_server::refuse_while(std::function<bool()> overloaded) {
    state_->refuse_while(std::move(overloaded));
}

void http_server::observe_ends(connection_end_observer observer) {
    state_->observe_ends(std::move(observer));
}

std::uint64_t http_server::refused_connections() const noexcept {
    return state_->refused();
}

void http_server::set_limits(http_limits limits) {
    state_->set_limits(std::move(limits));
}

void http_server::close() {
    state_->close();
}

std::size_t http_server::open_connections() const noexcept {
    return state_->open();
}

} // namespace camphorpoint
