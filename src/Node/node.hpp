#pragma once

#include "Core/findings.hpp"
#include "Kernel/kernel.hpp"
#include "Kernel/service_registry.hpp"
#include "Node/node_decisions.hpp"
#include "Node/ports_driver.hpp"
#include "Settings/node_settings.hpp"
#include "Telemetry/log_writer.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>

namespace camphorpoint {

/// A running node: its ports and its decisions, as services of one kernel.
class node {
public:
    /// @param io        the loop that owns everything
    /// @param settings  checked settings
    /// @param run       tells two runs of this process apart; only grows
    /// @param decisions what decides; must outlive the node
    /// @param log       where log events go; must outlive the node
    node(
        boost::asio::io_context& io, node_settings settings, std::uint64_t run,
        node_decisions decisions, log_writer& log)
        : driver_(io, std::move(settings), run, std::move(decisions), log)
        , kernel_(services_) {
        driver_.add_services(services_);
    }

    /// Starts all services.
    /// @param problems takes what went wrong; then nothing runs
    /// @returns true when the node runs
    bool start(findings& problems) { return kernel_.start(problems); }
    /// Begins a planned stop: unready at once, running requests finish, what
    /// is owned is handed over.
    /// @param stopped called when it has ended, and everything is closed
    void on_stopped(std::function<void(bool drained)> stopped) {
        driver_.on_stopped([this, stopped = std::move(stopped)](bool drained) {
            kernel_.stop();
            stopped(drained);
        });
    }
    /// Begins a planned stop; does nothing when one has begun.
    void drain() { driver_.drain(); }
    /// @returns the ports and the decisions joined
    ports_driver const& driver() const noexcept { return driver_; }

private:
    ports_driver driver_;
    service_registry services_;
    kernel kernel_;
};

} // namespace camphorpoint
