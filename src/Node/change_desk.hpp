#pragma once

#include "Ports/async_signal.hpp"
#include "Serving/node_action.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace camphorpoint {

/// Remembers what became of the changes that operators published through this
/// node; the oldest are forgotten first.
class change_desk {
public:
    explicit change_desk(boost::asio::any_io_executor executor)
        : changed_(std::move(executor)) {}

    /// @returns the number of a change that is about to be published
    std::uint64_t open();
    /// Notes how a change ended.
    void close(publish_ended const& end);
    /// Waits until the change has ended or the time has passed.
    boost::asio::awaitable<void>
    wait(std::uint64_t number, std::chrono::milliseconds longest);
    /// @returns true when the number was given out and is not forgotten
    bool knows(std::uint64_t number) const { return changes_.contains(number); }
    /// @returns how the change ended, or nothing while it is under way
    std::optional<publish_ended> result(std::uint64_t number) const;

private:
    std::uint64_t next_ = 1;
    std::map<std::uint64_t, std::optional<publish_ended>> changes_;
    async_signal changed_;
};

/// @returns what GET /changes/{number} answers: state, offset and problems
std::string
write_change(std::uint64_t number, std::optional<publish_ended> const& end);

} // namespace camphorpoint
