#pragma once

#include "Load/planned_request.hpp"
#include "Load/request_result.hpp"
#include "Ports/http_message.hpp"
#include "app/load/entry_nodes.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace camphorpoint {

/// Makes one call to a plain service through a node, and checks that the
/// answer is the one to this call.
/// @param executor where it runs
/// @param nodes    where the request goes
/// @param planned  the call
/// @param request  as it is sent
/// @param result   filled in
boost::asio::awaitable<void> call_service(
    boost::asio::any_io_executor executor, entry_nodes const& nodes,
    planned_request const& planned, http_request request,
    request_result& result);

} // namespace camphorpoint
