#pragma once

#include "test/soak/deployment.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <random>

namespace camphorpoint::soak {

/// Ends, stops and restarts processes and publishes configurations. Several
/// disruptions are under way at a time.
class disruptions {
public:
    /// @param executor where they run
    /// @param target   must outlive the disruptions
    disruptions(
        boost::asio::any_io_executor executor, deployment& target,
        std::uint64_t seed);

    /// Begins a new disruption every few hundred milliseconds until the run
    /// stops.
    /// @param stopping set when it does; must outlive the disruptions
    boost::asio::awaitable<void> run(bool const& stopping);
    /// @returns how many have begun
    unsigned begun() const noexcept { return begun_; }
    /// @returns how many are under way
    unsigned active() const noexcept { return active_; }

private:
    boost::asio::awaitable<void> begin_one();
    /// Sends a signal, and starts the process again when it has ended.
    boost::asio::awaitable<void> end_process(child_process& which, int signal);
    boost::asio::awaitable<void>
    stop_process(child_process& which, std::chrono::milliseconds time);
    boost::asio::awaitable<void> publish();
    std::chrono::milliseconds
    draw_time(std::chrono::milliseconds least, std::chrono::milliseconds most);
    std::uint64_t draw(std::uint64_t below) { return random_() % below; }

    boost::asio::any_io_executor executor_;
    deployment* target_;
    std::mt19937_64 random_;
    unsigned version_ = 1;
    unsigned begun_ = 0;
    unsigned active_ = 0;
};

} // namespace camphorpoint::soak
