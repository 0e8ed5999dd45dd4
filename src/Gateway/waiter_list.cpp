#include "Gateway/waiter_list.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace camphorpoint {

namespace asio = boost::asio;

asio::awaitable<void> waiter_list::wait(adapter_id adapter, instant until) {
    asio::steady_timer timer(executor_, time_until(until));
    waiting_[adapter].insert(&timer);
    ++count_;
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    --count_;
    auto const found = waiting_.find(adapter);
    found->second.erase(&timer);
    if (found->second.empty()) {
        waiting_.erase(found);
    }
}

void waiter_list::notify_all() {
    for (auto const& [adapter, timers] : waiting_) {
        for (asio::steady_timer* const each : timers) {
            each->cancel();
        }
    }
}

void waiter_list::notify(adapter_id const& adapter) {
    auto const found = waiting_.find(adapter);
    if (found != waiting_.end()) {
        for (asio::steady_timer* const each : found->second) {
            each->cancel();
        }
    }
}

} // namespace camphorpoint
