#pragma once

#include "Node/change_desk.hpp"
#include "Ports/http_server.hpp"
#include "Serving/node_status.hpp"
#include "Settings/node_settings.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace camphorpoint {

/// What operators can see and do through their interface.
struct operator_view {
    std::function<node_status()> status;
    std::function<std::string()> metrics;
    /// Publishes an encoded change under a number.
    std::function<void(std::uint64_t number, std::string record)> publish;
    std::function<void()> drain;
};

/// The interface that operators use, over HTTP/1.1. docs/API.md describes it.
class operator_interface {
public:
    /// @param executor where everything runs
    /// @param limits   what one connection may ask for
    /// @param view     what stands behind it
    operator_interface(
        boost::asio::any_io_executor executor, http_limits limits,
        operator_view view);

    /// Binds and listens.
    /// @returns the reason when the address cannot be had, empty on success
    std::string listen(ip_address const& address);
    /// @returns the port that is listened on
    std::uint16_t port() const noexcept { return server_.port(); }
    /// Tells what became of a change.
    void publish_ended(camphorpoint::publish_ended const& end) {
        desk_.close(end);
    }
    /// @returns how many operators wait for an answer
    std::size_t answering() const noexcept { return answering_; }
    /// Closes everything.
    void close() { server_.close(); }

private:
    boost::asio::awaitable<void> answer(http_exchange& exchange);
    boost::asio::awaitable<http_response> respond(http_request const& request);
    boost::asio::awaitable<http_response> publish(std::string record);
    http_response change(std::string_view number) const;
    http_response read(std::string_view path);

    operator_view view_;
    change_desk desk_;
    std::size_t answering_ = 0;
    http_server server_;
};

} // namespace camphorpoint
