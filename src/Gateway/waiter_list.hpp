#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <unordered_map>
#include <unordered_set>

namespace camphorpoint {

/// Requests that wait until their adapter is ready at a replica.
class waiter_list {
public:
    explicit waiter_list(boost::asio::any_io_executor executor)
        : executor_(std::move(executor)) {}

    /// Waits until notify() is called for the adapter, or until the given time.
    boost::asio::awaitable<void> wait(adapter_id adapter, instant until);
    /// Wakes all requests that wait for the adapter.
    void notify(adapter_id const& adapter);
    /// Wakes all waiting requests.
    void notify_all();

    /// @returns the number of waiting requests
    std::size_t size() const noexcept { return count_; }

private:
    boost::asio::any_io_executor executor_;
    std::unordered_map<
        adapter_id, std::unordered_set<boost::asio::steady_timer*>>
        waiting_;
    std::size_t count_ = 0;
};

} // namespace camphorpoint
