#pragma once

#include "test/ports/loopback.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace camphorpoint::testing {

/// How a body's end is told on the wire.
enum class body_framing : std::uint8_t {
    chunked,
    /// No length: the body ends with its connection.
    connection
};

/// How the connection of a run ends that is cut.
enum class disconnect_kind : std::uint8_t {
    /// As by a process that is killed while the kernel has nothing to read.
    closed,
    reset
};

/// What one run of a stream does.
struct scripted_attempt {
    static constexpr std::size_t all = std::numeric_limits<std::size_t>::max();

    /// Bytes of the body that it sends; a run of fewer than it has is cut.
    std::size_t bytes = all;
    /// Bytes that it sends at a time.
    std::size_t piece = all;
    body_framing framing = body_framing::chunked;
    disconnect_kind cut = disconnect_kind::reset;
    /// Events that it leaves out.
    std::set<unsigned> skipped;
    /// Events that bear no number.
    std::set<unsigned> unnumbered;
    /// Whether its answer bears the replica's signature.
    bool is_signed = true;
    /// Another status, with a plain body, instead of a stream.
    int status = 200;
};

/// Replicas that run streams byte by byte as a script says, whatever the
/// request. All share one address.
class scripted_replica {
public:
    /// @param events of a whole stream
    scripted_replica(loopback& loop, unsigned events);
    ~scripted_replica();
    scripted_replica(scripted_replica const&) = delete;
    scripted_replica& operator=(scripted_replica const&) = delete;

    /// @returns its entry in the list of replicas
    std::string entry(std::string const& service) const;
    /// @returns an event of a run, as the run makes it
    static std::string event(std::size_t attempt, unsigned number);

    /// What the next runs do; those beyond are whole.
    std::deque<scripted_attempt> script;
    /// Last-Event-Id of each run so far, 0 for none.
    std::vector<unsigned> last_event_ids;

private:
    boost::asio::awaitable<void> accept_all();
    boost::asio::awaitable<void> serve(raw_server::socket_type taken);
    std::string body_of(
        scripted_attempt const& attempt, std::size_t number,
        unsigned after) const;

    loopback* loop_;
    unsigned events_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace camphorpoint::testing
