#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <unordered_map>
#include <unordered_set>

namespace camphorpoint {

/// Requests that wait for an adapter to be ready somewhere.
class waiter_list {
public:
    explicit waiter_list(boost::asio::any_io_executor executor)
        : executor_(std::move(executor)) {}

    /// Waits until there is word of the adapter, or until a time.
    boost::asio::awaitable<void> wait(adapter_id adapter, instant until);
    /// Wakes all that wait for the adapter.
    void notify(adapter_id const& adapter);

    /// @returns how many wait
    std::size_t size() const noexcept { return count_; }

private:
    boost::asio::any_io_executor executor_;
    std::unordered_map<
        adapter_id, std::unordered_set<boost::asio::steady_timer*>>
        waiting_;
    std::size_t count_ = 0;
};

} // namespace camphorpoint
