#pragma once

#include "Ports/http_server.hpp"
#include "common/rate_limiter.hpp"
#include "log/log_faults.hpp"
#include "log/record_stream.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <string>

namespace standins {

/// The HTTP form of the log service. docs/STANDINS.md lists the calls.
class log_http {
public:
    /// @param kept              for each stream
    /// @param appends_per_second over all streams; 0 for no limit
    log_http(retention kept, double appends_per_second);

    /// Answers one exchange.
    boost::asio::awaitable<void> answer(camphorpoint::http_exchange& exchange);
    /// @returns the faults, to switch them on at the start
    log_faults& faults() noexcept { return faults_; }

private:
    boost::asio::awaitable<void>
    append(camphorpoint::http_exchange& exchange, record_stream& stream);
    camphorpoint::http_response
    read(camphorpoint::http_request const& request, record_stream& stream);

    std::map<std::string, record_stream, std::less<>> streams_;
    rate_limiter appends_;
    log_faults faults_;
};

} // namespace standins
