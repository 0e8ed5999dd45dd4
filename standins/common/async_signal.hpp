#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace standins {

/// Lets coroutines wait until something has changed. On one loop nothing is
/// missed between a check and the wait that follows it.
class async_signal {
public:
    explicit async_signal(boost::asio::any_io_executor const& executor)
        : timer_(executor) {
        timer_.expires_at(boost::asio::steady_timer::time_point::max());
    }

    /// Waits for the next notify_all.
    boost::asio::awaitable<void> wait() {
        co_await timer_.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    /// Wakes all that wait.
    void notify_all() { timer_.cancel(); }

private:
    boost::asio::steady_timer timer_;
};

} // namespace standins
