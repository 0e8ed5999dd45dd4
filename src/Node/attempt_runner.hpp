#pragma once

#include "Ports/caller_interface.hpp"
#include "Ports/engine_http.hpp"
#include "Ports/http_pool.hpp"
#include "Ports/service_http.hpp"
#include "Serving/node_action.hpp"
#include "Serving/node_event.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <compare>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>

namespace camphorpoint {

/// Runs attempts: brings a request to its endpoint and the answer to its
/// caller, and tells the decisions how each attempt ended.
class attempt_runner {
public:
    using event_sink = std::function<void(node_event event)>;
    /// Finds a request while its caller waits; null when the caller is gone.
    using call_finder =
        std::function<caller_interface::call_ptr(request_id const& id)>;

    /// @param executor where everything runs
    /// @param pool     must outlive the runner
    /// @param engines  must outlive the runner
    /// @param find     finds callers
    /// @param events   called for each event of an attempt
    attempt_runner(
        boost::asio::any_io_executor executor, http_pool& pool,
        engine_http& engines, call_finder find, event_sink events);

    /// Begins an attempt. An attempt_ended always follows.
    void start(start_attempt what);
    /// Stops an attempt, and tells the engine unless the run is to be kept for
    /// a resume; does nothing when it has ended.
    void cancel(cancel_attempt const& what);
    /// @returns how many attempts are under way
    std::size_t running() const noexcept { return running_.size(); }

private:
    struct attempt_id {
        request_id request;
        std::uint32_t attempt = 0;
        friend auto operator<=>(attempt_id const&, attempt_id const&) = default;
    };
    struct running_attempt;
    using running_ptr = std::shared_ptr<running_attempt>;

    boost::asio::awaitable<void> run(running_ptr attempt);
    boost::asio::awaitable<attempt_ended> run_engine(running_ptr attempt);
    boost::asio::awaitable<attempt_ended> run_service(running_ptr attempt);
    /// Ends a run that nobody will read.
    void tell_engine_to_stop(start_attempt const& what);
    void note_progress(running_attempt const& attempt);

    boost::asio::any_io_executor executor_;
    http_pool* pool_;
    engine_http* engines_;
    service_http services_;
    call_finder find_;
    event_sink events_;
    std::map<attempt_id, running_ptr> running_;
};

} // namespace camphorpoint
