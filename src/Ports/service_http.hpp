#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Ports/http_client.hpp"
#include "Serving/node_event.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace camphorpoint {

/// A call as a plain service is sent it.
struct service_call {
    std::string address;
    /// The answer must bear the same.
    request_id id;
    /// Lets the service know a repeat; empty for none.
    std::string key;
    std::string body;
    /// Not a byte is sent from here on.
    instant send_before = instant::max();
    /// Here the call is closed.
    instant deadline = instant::max();
};

/// How a call ended.
struct service_call_end {
    attempt_result how = attempt_result::not_sent;
    /// The whole answer; empty unless completed.
    std::string answer;
    /// Counts the answer against its budget; see http_response.
    std::shared_ptr<void const> memory = nullptr;
    int status = 0;
    /// What the service's answer says of its next requests.
    endpoint_notice notice{};
};

/// A plain service over HTTP.
class service_http {
public:
    /// Makes one call.
    /// @param call    ends it when cancelled
    /// @param request what to send
    boost::asio::awaitable<service_call_end>
    run(http_call& call, service_call request);
};

} // namespace camphorpoint
