#pragma once

#include "Settings/node_settings.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>

namespace standins {

/// How often things go wrong on a link, in a hundred pieces that a client
/// sends.
struct link_faults {
    /// An answer that belongs to no request, or to an earlier one, precedes the
    /// request's own answer.
    unsigned stray = 0;
    /// The connection ends in both directions, with or without a reset.
    unsigned cut = 0;
    /// The piece, or what answers it, is held back.
    unsigned delay = 0;
    /// An answer that fits into one piece arrives a second time: at once, some
    /// milliseconds later, or in front of the next answer, and always where an
    /// answer is expected to begin.
    unsigned copy = 0;
    /// An answer ends in the middle of a piece, and the connection with it.
    unsigned broken = 0;
    /// The request is not passed on: what answers it has no end. It names no
    /// length, or a huge one, or is chunked, and comes at once or at 16 MB
    /// a second at most.
    unsigned endless = 0;
};

/// What occurs on one way only.
struct way_faults {
    /// Answers without end occur.
    bool endless = false;
    /// Connections are accepted, and nothing is read from them.
    bool deaf = false;
};

/// Forwards TCP connections and disturbs them.
class faulty_link {
public:
    /// @param seed of the faults
    faulty_link(
        boost::asio::io_context& io, link_faults faults, std::uint64_t seed);

    /// Forwards what connects to an address.
    /// @param of_way what occurs there
    /// @returns why it can't listen; empty when it does
    std::string listen(
        camphorpoint::ip_address const& at,
        camphorpoint::ip_address const& target, way_faults of_way);

private:
    using socket_type = boost::asio::ip::tcp::socket;
    struct connection;

    boost::asio::awaitable<void> accept_all(
        std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
        camphorpoint::ip_address target, way_faults of_way);
    boost::asio::awaitable<void> forward_requests(
        std::shared_ptr<connection> link, camphorpoint::ip_address target,
        way_faults of_way);
    /// Waits until the client closes.
    static boost::asio::awaitable<void>
    read_nothing(std::shared_ptr<connection> link);
    /// Answers until the client closes.
    boost::asio::awaitable<void>
    answer_without_end(std::shared_ptr<connection> link);
    boost::asio::awaitable<void>
    forward_answers(std::shared_ptr<connection> link);
    void
    keep_copy(std::shared_ptr<connection> const& link, std::string_view answer);
    boost::asio::awaitable<void> send_copy(
        std::shared_ptr<connection> link, std::chrono::milliseconds after);
    boost::asio::awaitable<void> delay();
    bool occurs(unsigned percent);
    std::string stray_answer();

    boost::asio::io_context* io_;
    link_faults faults_;
    std::mt19937_64 random_;
};

} // namespace standins
