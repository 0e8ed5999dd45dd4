#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <memory>

namespace camphorpoint {

/// Ends what a stream waits for when a time has passed. Beast's own timeout
/// closes the socket, which leaves no way to tell the caller why.
class cancel_guard {
public:
    /// @param stream whose operations are cancelled; must outlive this
    /// @param time   until then
    cancel_guard(
        boost::beast::tcp_stream& stream, std::chrono::milliseconds time)
        : timer_(stream.get_executor(), time)
        , passed_(std::make_shared<bool>(false)) {
        timer_.async_wait(
            [passed = passed_, &stream](boost::beast::error_code error) {
                if (!error && !*passed) {
                    *passed = true;
                    stream.cancel();
                }
            });
    }
    ~cancel_guard() {
        // A timer that has already fired can't be cancelled; its handler must
        // not touch a stream that is gone.
        *passed_ = true;
    }
    cancel_guard(cancel_guard const&) = delete;
    cancel_guard& operator=(cancel_guard const&) = delete;

private:
    boost::asio::steady_timer timer_;
    std::shared_ptr<bool> passed_;
};

} // namespace camphorpoint
