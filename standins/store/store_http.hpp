#pragma once

#include "Ports/http_server.hpp"
#include "store/fetch_pace.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace standins {

/// The HTTP form of the weight store. docs/STANDINS.md lists the calls.
class store_http {
public:
    explicit store_http(fetch_settings const& settings)
        : pace_(settings) {}

    /// Answers one exchange.
    boost::asio::awaitable<void> answer(camphorpoint::http_exchange& exchange);

private:
    boost::asio::awaitable<void> fetch(camphorpoint::http_exchange& exchange);
    std::string records() const;

    fetch_pace pace_;
    bool down_ = false;
    double slow_ = 1;
    std::uint64_t fetches_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace standins
