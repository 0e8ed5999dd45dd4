#pragma once

#include "Ports/async_signal.hpp"
#include "Serving/node_action.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace camphorpoint {

/// Where operators wait for the changes that they publish through this node.
class change_desk {
public:
    explicit change_desk(boost::asio::any_io_executor const& executor)
        : changed_(executor) {}

    /// @returns the number of a change that is about to be published
    std::uint64_t open();
    /// Notes how a change ended; without effect when nobody waits for it.
    void close(publish_ended const& end);
    /// Waits until the change has ended or the time has passed, and forgets it.
    /// @returns how it ended, or nothing when it is still under way
    boost::asio::awaitable<std::optional<publish_ended>>
    wait(std::uint64_t number, std::chrono::milliseconds longest);

private:
    std::uint64_t next_ = 1;
    std::map<std::uint64_t, std::optional<publish_ended>> waiting_;
    async_signal changed_;
};

} // namespace camphorpoint
