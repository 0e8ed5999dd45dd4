#pragma once

#include "Core/time.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace camphorpoint {

/// Lets coroutines of one loop wait until something has changed. Nothing is
/// missed between a check and the wait that follows it, as no other code runs
/// in between.
class async_signal {
public:
    explicit async_signal(boost::asio::any_io_executor const& executor)
        : timer_(executor) {}

    /// Waits for the next notify, or until a time.
    boost::asio::awaitable<void> wait_until(instant limit = instant::max()) {
        timer_.expires_after(time_until(limit));
        co_await timer_.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    /// Wakes what waits.
    void notify() { timer_.cancel(); }

private:
    boost::asio::steady_timer timer_;
};

} // namespace camphorpoint
