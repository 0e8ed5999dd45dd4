#include "Ports/peer_link.hpp"

#include "Ports/async_signal.hpp"
#include "Ports/peer_frame.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);

instant now() noexcept {
    return boot_clock::now();
}

/// Bounds how long sent data may stay unacknowledged (RFC 5482).
using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Closes a socket when a time has passed, unless it is dismissed before.
class close_guard {
public:
    close_guard(
        asio::any_io_executor const& executor,
        std::shared_ptr<tcp::socket> socket, std::chrono::milliseconds time)
        : timer_(executor, time) {
        timer_.async_wait([socket = std::move(socket)](error_code error) {
            if (!error) {
                error_code ignored;
                socket->close(ignored);
            }
        });
    }

private:
    asio::steady_timer timer_;
};

} // namespace

class peer_link::state : public std::enable_shared_from_this<state> {
public:
    state(
        asio::any_io_executor executor, peer_identity self,
        peer_link_limits limits, std::uint64_t seed, receive_handler receive,
        unreachable_handler unreachable)
        : executor_(std::move(executor))
        , self_(std::move(self))
        , limits_(limits)
        , random_(seed)
        , receive_(std::move(receive))
        , unreachable_(std::move(unreachable))
        , acceptor_(executor_) {}

    std::string listen(ip_address const& address);
    void send(node_id const& to, ip_address const& address, std::string frame);
    void close();
    std::uint16_t port() const noexcept;
    std::size_t queued_bytes() const noexcept;

private:
    using socket_ptr = std::shared_ptr<tcp::socket>;

    /// The way to one peer.
    struct outgoing {
        outgoing(asio::any_io_executor const& executor, node_id peer)
            : id(std::move(peer))
            , changed(executor) {}

        node_id id;
        ip_address address;
        std::deque<std::string> queue;
        std::size_t bytes = 0;
        async_signal changed;
        socket_ptr socket;
        bool broken = false;
        bool running = false;
    };
    using outgoing_ptr = std::shared_ptr<outgoing>;

    asio::awaitable<void> accept_all();
    asio::awaitable<void> receive_from(socket_ptr socket);
    asio::awaitable<void> serve(outgoing_ptr peer);
    asio::awaitable<bool> connect(outgoing_ptr peer);
    asio::awaitable<void> write_queue(outgoing_ptr peer);
    asio::awaitable<void> watch(outgoing_ptr peer, socket_ptr socket);
    void lose(outgoing& peer);
    std::chrono::milliseconds jittered(std::chrono::milliseconds wait);

    asio::any_io_executor executor_;
    peer_identity self_;
    peer_link_limits limits_;
    std::mt19937_64 random_;
    receive_handler receive_;
    unreachable_handler unreachable_;
    tcp::acceptor acceptor_;
    std::map<node_id, outgoing_ptr> outgoing_;
    std::set<socket_ptr> incoming_;
    bool closed_ = false;
};

std::string peer_link::state::listen(ip_address const& address) {
    error_code error;
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

asio::awaitable<void> peer_link::state::accept_all() {
    constexpr std::chrono::milliseconds pause{100};
    while (!closed_) {
        auto [error, accepted] = co_await acceptor_.async_accept(use_result);
        if (closed_) {
            co_return;
        }
        if (error) {
            // Out of file descriptors, as a rule: without the pause the loop
            // would spin and starve everything else.
            asio::steady_timer timer(executor_, pause);
            co_await timer.async_wait(use_result);
            continue;
        }
        if (incoming_.size() >= limits_.incoming) {
            continue;
        }
        auto socket = std::make_shared<tcp::socket>(std::move(accepted));
        incoming_.insert(socket);
        asio::co_spawn(
            executor_,
            [self = shared_from_this(), socket] {
                return self->receive_from(socket);
            },
            asio::detached);
    }
}

asio::awaitable<void> peer_link::state::receive_from(socket_ptr socket) {
    std::optional<peer_hello> hello;
    {
        close_guard const guard(executor_, socket, limits_.silence);
        auto const first =
            co_await internal::read_frame(*socket, largest_hello);
        hello = first ? decode_peer_hello(*first) : std::nullopt;
    }
    if (hello && hello->to == self_.id) {
        while (auto message = co_await internal::read_frame(
                   *socket, limits_.message_bytes)) {
            if (closed_) {
                break;
            }
            receive_(hello->from, std::move(*message));
        }
    }
    error_code ignored;
    socket->close(ignored);
    incoming_.erase(socket);
}

void peer_link::state::send(
    node_id const& to, ip_address const& address, std::string frame) {
    if (closed_) {
        return;
    }
    outgoing_ptr& peer = outgoing_[to];
    if (peer == nullptr) {
        peer = std::make_shared<outgoing>(executor_, to);
    }
    if (peer->address != address && peer->socket != nullptr) {
        error_code ignored;
        peer->socket->close(ignored);
    }
    peer->address = address;
    if (peer->bytes + frame.size() > limits_.queue_bytes) {
        // A peer that takes nothing would otherwise fill this node's memory.
        // What waits is given up as a whole: a gap in the order of messages
        // must not look like a working connection.
        lose(*peer);
        return;
    }
    peer->bytes += frame.size();
    peer->queue.push_back(std::move(frame));
    peer->changed.notify();
    if (!peer->running) {
        peer->running = true;
        asio::co_spawn(
            executor_,
            [self = shared_from_this(), peer] { return self->serve(peer); },
            asio::detached);
    }
}

void peer_link::state::lose(outgoing& peer) {
    peer.queue.clear();
    peer.bytes = 0;
    peer.broken = true;
    if (peer.socket != nullptr) {
        error_code ignored;
        peer.socket->close(ignored);
    }
    peer.changed.notify();
    // Never from inside send(): the caller's decisions are still under way.
    asio::post(executor_, [self = shared_from_this(), id = peer.id] {
        if (!self->closed_) {
            self->unreachable_(id);
        }
    });
}

std::chrono::milliseconds
peer_link::state::jittered(std::chrono::milliseconds wait) {
    std::uniform_int_distribution<std::int64_t> half(
        wait.count() / 2, wait.count());
    return std::chrono::milliseconds(half(random_));
}

asio::awaitable<void> peer_link::state::serve(outgoing_ptr peer) {
    std::chrono::milliseconds backoff = limits_.least_backoff;
    while (!closed_ && !peer->queue.empty()) {
        peer->broken = false;
        bool const connected = co_await connect(peer);
        if (connected && !closed_) {
            backoff = limits_.least_backoff;
            co_await write_queue(peer);
        } else {
            lose(*peer);
        }
        if (connected && peer->queue.empty()) {
            break;
        }
        asio::steady_timer timer(executor_, jittered(backoff));
        co_await timer.async_wait(use_result);
        backoff = std::min(backoff * 2, limits_.most_backoff);
    }
    peer->running = false;
    peer->socket = nullptr;
    // What came in while the last connection closed starts the way anew.
    auto const found = outgoing_.find(peer->id);
    if (found != outgoing_.end() && found->second == peer) {
        outgoing_.erase(found);
    }
}

asio::awaitable<bool> peer_link::state::connect(outgoing_ptr peer) {
    error_code error;
    auto const host = asio::ip::make_address(peer->address.host, error);
    if (error) {
        co_return false;
    }
    auto const socket = std::make_shared<tcp::socket>(executor_);
    peer->socket = socket;
    tcp::endpoint const remote(host, peer->address.port);
    close_guard const guard(executor_, socket, limits_.connect_timeout);
    auto const [failure] = co_await socket->async_connect(remote, use_result);
    if (failure) {
        co_return false;
    }
    socket->set_option(tcp::no_delay(true), error);
    socket->set_option(
        user_timeout(static_cast<int>(limits_.silence.count())), error);
    asio::co_spawn(
        executor_,
        [self = shared_from_this(), peer, socket] {
            return self->watch(peer, socket);
        },
        asio::detached);
    std::string const hello = internal::make_frame(
        encode_peer_hello({peer_protocol, self_, peer->id}));
    auto const [unsent, size] =
        co_await asio::async_write(*socket, asio::buffer(hello), use_result);
    co_return !unsent;
}

asio::awaitable<void>
peer_link::state::watch(outgoing_ptr peer, socket_ptr socket) {
    std::array<char, 1> byte{};
    // The peer never writes on this connection, so that reading ends only when
    // it breaks. Without it a message written just after the peer's death
    // would seem delivered.
    co_await socket->async_read_some(asio::buffer(byte), use_result);
    if (peer->socket == socket && !peer->broken && !closed_) {
        lose(*peer);
    }
}

asio::awaitable<void> peer_link::state::write_queue(outgoing_ptr peer) {
    socket_ptr const socket = peer->socket;
    while (!peer->broken && !closed_) {
        if (peer->queue.empty()) {
            instant const idle_since = now();
            co_await peer->changed.wait_until(idle_since + limits_.idle);
            if (peer->queue.empty() && now() >= idle_since + limits_.idle) {
                break;
            }
            continue;
        }
        std::string const frame = std::move(peer->queue.front());
        peer->queue.pop_front();
        peer->bytes -= frame.size();
        auto const [error, size] = co_await asio::async_write(
            *socket, asio::buffer(frame), use_result);
        if (error && !peer->broken) {
            lose(*peer);
        }
    }
    // Set before the close, so that watch() doesn't take it for a loss.
    peer->broken = true;
    error_code ignored;
    socket->close(ignored);
}

void peer_link::state::close() {
    closed_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    for (socket_ptr const& socket : incoming_) {
        socket->close(ignored);
    }
    for (auto const& [id, peer] : outgoing_) {
        peer->changed.notify();
        if (peer->socket != nullptr) {
            peer->socket->close(ignored);
        }
    }
    outgoing_.clear();
}

std::uint16_t peer_link::state::port() const noexcept {
    error_code ignored;
    return acceptor_.local_endpoint(ignored).port();
}

std::size_t peer_link::state::queued_bytes() const noexcept {
    std::size_t sum = 0;
    for (auto const& [id, peer] : outgoing_) {
        sum += peer->bytes;
    }
    return sum;
}

peer_link::peer_link(
    asio::any_io_executor executor, peer_identity self, peer_link_limits limits,
    std::uint64_t seed, receive_handler receive,
    unreachable_handler unreachable)
    : state_(std::make_shared<state>(
          std::move(executor), std::move(self), limits, seed,
          std::move(receive), std::move(unreachable))) {}

peer_link::~peer_link() {
    state_->close();
}

std::string peer_link::listen(ip_address const& address) {
    return state_->listen(address);
}

std::uint16_t peer_link::port() const noexcept {
    return state_->port();
}

void peer_link::send(
    node_id const& to, ip_address const& address, std::string const& message) {
    state_->send(to, address, internal::make_frame(message));
}

void peer_link::close() {
    state_->close();
}

std::size_t peer_link::queued_bytes() const noexcept {
    return state_->queued_bytes();
}

} // namespace camphorpoint
