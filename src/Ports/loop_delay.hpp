#pragma once

#include "Core/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>

namespace camphorpoint {

/// Measures how long the event loop needs for one turn, and so how long an
/// event waits until it is handled. Needs no knowledge of the machine: a loop
/// whose processor time does not suffice is late.
class loop_delay {
public:
    /// @param loop the event loop; must outlive this
    explicit loop_delay(boost::asio::io_context& loop)
        : loop_(&loop) {}

    /// Starts the measurement.
    void start();
    /// Ends the measurement.
    void stop() { state_->running = false; }
    /// @returns how late the latest tick was, or the next one is by now
    duration current(instant now) const;
    /// @returns by how much two ticks in a row were late at least, where the
    ///          second one may still be due. A single long turn delays one
    ///          tick, and says nothing about the turns after it.
    duration sustained(instant now) const;

private:
    struct state {
        bool running = false;
        instant next_tick;
        duration last_delay{0};
        duration delay_before_last{0};
    };
    static boost::asio::awaitable<void>
    run(boost::asio::io_context& loop, std::shared_ptr<state> state);

    boost::asio::io_context* loop_;
    std::shared_ptr<state> state_ = std::make_shared<state>();
};

} // namespace camphorpoint
