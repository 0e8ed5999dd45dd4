#pragma once

#include "Settings/node_settings.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace camphorpoint {

/// No datagram is longer, so that none is split up on its way.
inline constexpr std::size_t largest_datagram = 1'200;

/// Carries probes between nodes over UDP. A datagram may be lost, come twice
/// or be forged; the sender is not told.
class probe_link {
public:
    using receive_handler = std::function<void(std::string datagram)>;

    /// @param executor where everything runs
    /// @param receive  called for each datagram
    probe_link(
        boost::asio::any_io_executor const& executor, receive_handler receive);
    /// Closes the socket.
    ~probe_link();
    probe_link(probe_link const&) = delete;
    probe_link& operator=(probe_link const&) = delete;

    /// Binds.
    /// @param address port 0 takes any free one
    /// @returns the reason when the address cannot be had, empty on success
    std::string listen(ip_address const& address);
    /// @returns the port that is bound
    std::uint16_t port() const noexcept;
    /// Sends a datagram.
    /// @returns false when it is too long or the address has no such form
    bool send(ip_address const& to, std::string_view datagram);
    /// Closes the socket.
    void close();

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace camphorpoint
