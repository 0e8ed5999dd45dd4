#include "Ports/loop_delay.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds tick_interval{25};

} // namespace

void loop_delay::start() {
    state_->running = true;
    state_->next_tick = boot_clock::now() + tick_interval;
    asio::co_spawn(*loop_, run(*loop_, state_), asio::detached);
}

asio::awaitable<void>
loop_delay::run(asio::io_context& loop, std::shared_ptr<state> state) {
    while (state->running) {
        asio::steady_timer timer(loop, tick_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        instant const now = boot_clock::now();
        state->delay_before_last = state->last_delay;
        state->last_delay = now - state->next_tick;
        state->next_tick = now + tick_interval;
    }
}

duration loop_delay::current(instant now) const {
    if (!state_->running) {
        return duration::zero();
    }
    return std::max(state_->last_delay, now - state_->next_tick);
}

duration loop_delay::sustained(instant now) const {
    if (!state_->running) {
        return duration::zero();
    }
    duration const overdue = now - state_->next_tick;
    return std::min(
        state_->last_delay, std::max(state_->delay_before_last, overdue));
}

} // namespace camphorpoint
