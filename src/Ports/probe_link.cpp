#include "Ports/probe_link.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using boost::asio::ip::udp;
using boost::system::error_code;

class probe_link::state : public std::enable_shared_from_this<state> {
public:
    state(asio::any_io_executor const& executor, receive_handler receive)
        : socket_(executor)
        , receive_(std::move(receive)) {}

    std::string listen(ip_address const& address);
    bool send(ip_address const& to, std::string_view datagram);
    void close();
    std::uint16_t port() const noexcept;

private:
    asio::awaitable<void> receive_all();

    udp::socket socket_;
    receive_handler receive_;
};

std::string probe_link::state::listen(ip_address const& address) {
    error_code error;
    auto const host = asio::ip::make_address(address.host, error);
    if (error) {
        return error.message();
    }
    udp::endpoint const local(host, address.port);
    socket_.open(local.protocol(), error);
    if (!error) {
        socket_.bind(local, error);
    }
    if (!error) {
        socket_.non_blocking(true, error);
    }
    if (error) {
        return error.message();
    }
    asio::co_spawn(
        socket_.get_executor(),
        [self = shared_from_this()] { return self->receive_all(); },
        asio::detached);
    return {};
}

asio::awaitable<void> probe_link::state::receive_all() {
    // One byte more than allowed shows a datagram that is too long.
    std::array<char, largest_datagram + 1> buffer{};
    udp::endpoint from;
    while (socket_.is_open()) {
        auto const [error, size] = co_await socket_.async_receive_from(
            asio::buffer(buffer), from, asio::as_tuple(asio::use_awaitable));
        // An error here is an earlier datagram's "port unreachable"; it says
        // nothing about the socket, which only close() ends.
        if (!error && size <= largest_datagram) {
            receive_(std::string(buffer.data(), size));
        }
    }
}

bool probe_link::state::send(ip_address const& to, std::string_view datagram) {
    error_code error;
    auto const host = asio::ip::make_address(to.host, error);
    if (error || datagram.size() > largest_datagram) {
        return false;
    }
    // A full send buffer loses the datagram, as the network may.
    socket_.send_to(
        asio::buffer(datagram.data(), datagram.size()),
        udp::endpoint(host, to.port), 0, error);
    return true;
}

void probe_link::state::close() {
    error_code ignored;
    socket_.close(ignored);
}

std::uint16_t probe_link::state::port() const noexcept {
    error_code ignored;
    return socket_.local_endpoint(ignored).port();
}

probe_link::probe_link(
    asio::any_io_executor const& executor, receive_handler receive)
    : state_(std::make_shared<state>(executor, std::move(receive))) {}

probe_link::~probe_link() {
    state_->close();
}

std::string probe_link::listen(ip_address const& address) {
    return state_->listen(address);
}

std::uint16_t probe_link::port() const noexcept {
    return state_->port();
}

bool probe_link::send(ip_address const& to, std::string_view datagram) {
    return state_->send(to, datagram);
}

void probe_link::close() {
    state_->close();
}

} // namespace camphorpoint
