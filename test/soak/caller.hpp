#pragma once

#include "test/soak/deployment.hpp"
#include "test/soak/ledger.hpp"
#include "test/soak/lost_requests.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace camphorpoint::soak {

/// What all callers of a run have in common.
struct caller_records {
    told_fates told;
    /// Ids of requests that may run once at most.
    std::set<std::string> once_only;
    /// Requests that were sent whole, and their ends.
    std::vector<sent_request> sent;
    /// When a caller was last told that its request has not run.
    instant last_promise{};
    /// Set when no further requests are to be sent.
    bool stopping = false;
    unsigned callers = 0;
};

/// A caller that sends one request after the other on a connection that it
/// keeps until its node ends it. It sends a request again only when it was told
/// that the request has not run.
class caller {
public:
    /// @param target  where the nodes are; must outlive the caller
    /// @param records what callers were told; must outlive the caller
    caller(
        deployment const& target, caller_records& records, std::string name,
        soak_settings const& settings, std::uint64_t seed);

    /// Sends requests until the run stops.
    boost::asio::awaitable<void> run();

private:
    /// What became of one request.
    enum class fate : std::uint8_t {
        /// It has been answered, whether it has run or not is told or unknown.
        final,
        /// It has not run, as a status promises.
        refused,
        /// The connection was reset before any answer: it was not read.
        reset,
        /// No node takes the connection.
        unconnected
    };
    struct request {
        std::string path;
        std::string id;
        /// Further lines of its head.
        std::string fields;
        bool events = false;
        std::chrono::milliseconds patience{0};
    };
    /// What the last answer was.
    struct answer {
        int status = 0;
        std::string body;
        bool whole = false;
    };

    boost::asio::awaitable<void> run_operation(unsigned number);
    request draw_request();
    /// Sends two requests at once on one connection.
    boost::asio::awaitable<void> run_pair(unsigned number);
    std::chrono::milliseconds draw_patience();
    /// Reads a stream, and resumes it as long as its patience lasts.
    boost::asio::awaitable<void> run_stream(unsigned number);
    static std::string text_of(request const& wanted);
    boost::asio::awaitable<fate> send(request const& wanted);
    /// Writes a request, or its first part and after a pause the other one.
    /// @returns false when the connection has ended
    boost::asio::awaitable<bool> write(std::string const& text);
    /// @param another_follows a further answer is read on the connection, also
    ///                        when this one announces its end
    boost::asio::awaitable<fate>
    read_answer(request const& wanted, bool another_follows = false);
    boost::asio::awaitable<bool> connect();
    fate judge(request const& wanted);
    fate note(fate what, std::string const& id);
    std::uint64_t draw(std::uint64_t below) { return random_() % below; }

    deployment const* target_;
    caller_records* records_;
    std::string name_;
    soak_settings settings_;
    std::mt19937_64 random_;
    /// The node that it is connected to.
    std::size_t node_ = 0;
    /// The last attempt to connect has succeeded.
    bool node_takes_connections_ = false;
    answer answer_;
    /// Of the request that is under way.
    sent_request sent_;
    std::unique_ptr<boost::asio::ip::tcp::socket> socket_;
    boost::beast::flat_buffer buffer_;
};

} // namespace camphorpoint::soak
