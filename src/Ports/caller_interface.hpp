#pragma once

#include "Core/time.hpp"
#include "Ports/caller_call.hpp"
#include "Ports/http_server.hpp"
#include "Serving/node_event.hpp"
#include "Settings/node_settings.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace camphorpoint {

/// The interface that callers use, over HTTP/1.1. docs/API.md describes it.
class caller_interface {
public:
    using call_ptr = std::shared_ptr<caller_call>;
    /// Takes what callers ask and do.
    using event_sink = std::function<void(node_event event)>;

    /// @param executor where everything runs
    /// @param limits   what one connection may ask for
    /// @param node     part of each request's id
    /// @param run      tells the ids of two runs of the process apart
    /// @param events   called for each request, and when a caller goes away
    caller_interface(
        boost::asio::any_io_executor const& executor, http_limits limits,
        node_id node, std::uint64_t run, event_sink events);

    /// Binds and listens.
    /// @returns the reason when the address cannot be had, empty on success
    std::string listen(ip_address const& address);
    /// @returns the port that is listened on
    std::uint16_t port() const noexcept { return server_.port(); }
    /// @returns the request of that id while its caller waits, else null
    call_ptr find(request_id const& id) const;
    /// @returns how many callers wait for an answer
    std::size_t waiting() const noexcept { return calls_->size(); }
    /// Accepts no further connections and lets each open one end with its last
    /// answer.
    void finish_connections();
    /// @returns how many connections are open
    std::size_t open_connections() const noexcept {
        return server_.open_connections();
    }
    /// Sets what takes the ends of connections.
    void observe_ends(connection_end_observer observer) {
        server_.observe_ends(std::move(observer));
    }
    /// Closes everything.
    void close() { server_.close(); }

private:
    boost::asio::awaitable<void> answer(http_exchange& exchange);
    boost::asio::awaitable<void>
    serve(http_exchange& exchange, call_ptr call, node_event event);
    request_id next_id();
    http_response key_answer();

    boost::asio::any_io_executor executor_;
    node_id node_;
    std::uint64_t run_;
    std::uint64_t next_ = 1;
    std::mt19937_64 random_;
    event_sink events_;
    // Shared with the coroutines that serve callers: those that still wait when
    // the loop ends are destroyed after this object.
    std::shared_ptr<std::map<request_id, call_ptr>> calls_ =
        std::make_shared<std::map<request_id, call_ptr>>();
    http_server server_;
};

} // namespace camphorpoint
