#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Ports/peer_hello.hpp"
#include "Settings/node_settings.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace camphorpoint {

/// What one node keeps for its peers.
struct peer_link_limits {
    /// A longer message ends the connection.
    std::size_t message_bytes = std::size_t{4} << 20U;
    /// Messages that wait for one peer; more count as unreachable.
    std::size_t queue_bytes = std::size_t{8} << 20U;
    /// Connections from peers.
    std::size_t incoming = 4'096;
    std::chrono::milliseconds connect_timeout{1'000};
    /// For the peer's hello, and for data that it doesn't acknowledge.
    std::chrono::milliseconds silence{5'000};
    /// An unused connection is closed after this.
    std::chrono::milliseconds idle{60'000};
    /// The wait before a second try; it doubles up to the most, and the half of
    /// it is random, so that nodes don't all come back to a restarted peer at
    /// once.
    std::chrono::milliseconds least_backoff{50};
    std::chrono::milliseconds most_backoff{2'000};
};

/// Carries messages between nodes over TCP: one connection for each pair and
/// direction, each message with its length (four bytes, big-endian) before it.
/// The first says who calls whom.
class peer_link {
public:
    /// Takes a message of a peer.
    using receive_handler =
        std::function<void(peer_identity const& from, std::string message)>;
    /// Learns that a peer can't be reached, or that a connection broke which
    /// may have held undelivered messages.
    using unreachable_handler = std::function<void(node_id const& peer)>;

    /// @param executor    where everything runs
    /// @param self        this node
    /// @param limits      what is kept
    /// @param seed        for the jitter of backoffs
    /// @param receive     called for each message
    /// @param unreachable called for each loss
    peer_link(
        boost::asio::any_io_executor executor, peer_identity self,
        peer_link_limits limits, std::uint64_t seed, receive_handler receive,
        unreachable_handler unreachable);
    /// Closes everything.
    ~peer_link();
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    /// Binds and listens.
    /// @param address port 0 takes any free one
    /// @returns the reason when the address cannot be had, empty on success
    std::string listen(ip_address const& address);
    /// @returns the port that is listened on
    std::uint16_t port() const noexcept;
    /// Queues a message. Order is kept while a connection lasts; a loss is
    /// reported, never repeated here.
    /// @param to      the peer
    /// @param address where it listens now
    /// @param message its bytes
    void
    send(node_id const& to, ip_address const& address, std::string message);
    /// Closes everything at once.
    void close();
    /// @returns bytes that wait for all peers
    std::size_t queued_bytes() const noexcept;

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace camphorpoint
