#pragma once

#include "Ports/http_server.hpp"
#include "common/json_body.hpp"
#include "service/call_capacity.hpp"
#include "service/call_records.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>

namespace standins {

/// The HTTP form of a plain service. docs/STANDINS.md lists the calls.
class service_http {
public:
    explicit service_http(call_capacity capacity)
        : capacity_(capacity) {}

    /// Answers one exchange.
    boost::asio::awaitable<void> answer(camphorpoint::http_exchange& exchange);
    /// Changes what an admin call names.
    void administer(json_body const& order);

private:
    boost::asio::awaitable<void> call(camphorpoint::http_exchange& exchange);
    boost::asio::awaitable<bool> finish(camphorpoint::http_exchange& exchange);

    call_capacity capacity_;
    call_records records_;
    std::int64_t errors_ = 0;
    std::int64_t cut_answers_ = 0;
    std::chrono::milliseconds slow_{};
    bool leaving_ = false;
};

} // namespace standins
