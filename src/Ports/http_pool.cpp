#include "Ports/http_pool.hpp"

#include "Ports/http_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace camphorpoint {

namespace internal {

using boost::asio::ip::tcp;

void http_connection::abort() noexcept {
    boost::beast::error_code ignored;
    // With a linger time of zero, close() resets the connection. An ordinary
    // close would let the kernel go on sending what it has queued, so an order
    // could reach an engine after its owner's authority has ended.
    stream.socket().set_option(
        boost::asio::socket_base::linger(true, 0), ignored);
    stream.socket().close(ignored);
}

bool http_connection::idle() noexcept {
    boost::beast::error_code error;
    std::array<char, 1> byte{};
    stream.socket().non_blocking(true, error);
    if (error || buffer.size() != 0) {
        return false;
    }
    stream.socket().receive(
        boost::asio::buffer(byte), tcp::socket::message_peek, error);
    return error == boost::asio::error::would_block;
}

} // namespace internal

http_pool::http_pool(
    http_pool_limits limits, std::shared_ptr<answer_budget> answers)
    : limits_(limits)
    , answers_(std::move(answers)) {}

http_pool::~http_pool() = default;

http_pool::connection_ptr http_pool::take(
    ip_address const& to, instant now, duration idle_at_most,
    std::string_view id, bool all_named) {
    drop_old(now);
    auto const found = idle_.find(to);
    if (found == idle_.end()) {
        return nullptr;
    }
    kept_list& list = found->second;
    connection_ptr result;
    auto next = list.end();
    while (next != list.begin() && result == nullptr) {
        --next;
        duration const age = now - next->since;
        if (age >= idle_at_most) {
            break;
        }
        internal::carried_ids const& carried = next->connection->carried;
        if (carried.contains(id) || (all_named && carried.unnamed())) {
            continue;
        }
        duration const longest = next->longest;
        result = std::move(next->connection);
        next = list.erase(next);
        --count_;
        // A server that closed an idle connection would answer the next
        // request with a reset, whose fate is then unknown. Asking the socket
        // first turns nearly all of these into a fresh connection.
        if (!result->idle() || age >= longest) {
            result = nullptr;
        }
    }
    if (list.empty()) {
        idle_.erase(found);
    }
    return result;
}

void http_pool::drop(ip_address const& to) {
    auto const found = idle_.find(to);
    if (found != idle_.end()) {
        count_ -= found->second.size();
        idle_.erase(found);
    }
}

void http_pool::give(
    ip_address const& to, connection_ptr connection, instant now,
    duration longest) {
    drop_old(now);
    if (connection->carried.full()) {
        return;
    }
    duration const kept = std::min<duration>(longest, limits_.idle_time);
    kept_list& list = idle_[to];
    list.push_back({std::move(connection), now, kept});
    ++count_;
    if (list.size() > limits_.idle_per_endpoint) {
        list.pop_front();
        --count_;
    }
    if (count_ > limits_.idle_in_all) {
        drop_oldest();
    }
}

void http_pool::drop_old(instant now) {
    for (auto each = idle_.begin(); each != idle_.end();) {
        kept_list& list = each->second;
        while (!list.empty() && list.front().since + limits_.idle_time < now) {
            list.pop_front();
            --count_;
        }
        each = list.empty() ? idle_.erase(each) : std::next(each);
    }
}

void http_pool::drop_oldest() {
    auto const oldest = std::ranges::min_element(
        idle_, {}, [](auto const& each) { return each.second.front().since; });
    oldest->second.pop_front();
    --count_;
    if (oldest->second.empty()) {
        idle_.erase(oldest);
    }
}

} // namespace camphorpoint
