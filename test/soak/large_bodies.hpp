#pragma once

#include "test/soak/deployment.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <string>

namespace camphorpoint::soak {

/// Sends requests with bodies of almost 4 MB, one after the other, each on a
/// connection of its own, and reads no answer.
class large_body_caller {
public:
    /// @param number decides what it does: in turn it sends whole requests to a
    ///               node's callers' address, and requests without their last
    ///               byte to this and to the peers' address
    large_body_caller(deployment const& target, std::size_t number);

    /// Sends until the run stops.
    /// @param stopping must outlive the run
    boost::asio::awaitable<void> run(bool const& stopping);

private:
    boost::asio::awaitable<void> send(std::string const& name) const;

    ip_address to_;
    bool whole_;
    std::size_t number_;
    std::size_t sent_ = 0;
};

} // namespace camphorpoint::soak
