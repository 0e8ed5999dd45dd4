#pragma once

#include "Load/answer_check.hpp"
#include "Load/planned_request.hpp"
#include "Load/request_result.hpp"
#include "Ports/event_stream.hpp"
#include "Ports/http_client.hpp"
#include "app/load/caller_wire.hpp"
#include "app/load/entry_nodes.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace camphorpoint {

/// Makes one request for a streamed answer, checks each token, and goes on
/// through another node when the stream breaks.
class stream_caller {
public:
    /// @param executor where it runs
    /// @param nodes    where the request goes; must outlive the caller
    /// @param planned  the request
    /// @param versions of the adapter that may answer
    stream_caller(
        boost::asio::any_io_executor executor, entry_nodes const& nodes,
        planned_request const& planned, std::vector<std::uint32_t> versions);

    /// Makes the request and follows its stream to the end.
    /// @param request as it is sent
    /// @param result  filled in
    boost::asio::awaitable<void>
    run(http_request request, request_result& result);

private:
    /// How one connection ended.
    enum class link_end { closed, broke, refused };

    boost::asio::awaitable<link_end>
    follow(http_request request, ip_address to, request_result& result);
    boost::asio::awaitable<link_end>
    read_events(http_call& call, request_result& result);
    boost::asio::awaitable<link_end>
    read_error(http_call& call, request_result& result);
    /// @returns false when the caller breaks its own connection here
    bool take_event(stream_event const& event, request_result& result);
    void take_times(request_result& result);
    void settle(request_result& result);

    boost::asio::any_io_executor executor_;
    entry_nodes const* nodes_;
    planned_request const* planned_;
    answer_check check_;
    std::string request_id_;
    std::string last_event_;
    stated_end end_;
    bool done_marker_ = false;
    bool broke_itself_ = false;
    std::chrono::steady_clock::time_point began_;
    std::chrono::steady_clock::time_point last_piece_;
};

} // namespace camphorpoint
