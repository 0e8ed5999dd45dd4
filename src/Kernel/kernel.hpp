#pragma once

#include "Kernel/service_registry.hpp"

#include <vector>

namespace camphorpoint {

/// Starts the services of a registry in the order of what they need, and stops
/// them in reverse.
class kernel {
public:
    /// @param services must outlive the kernel
    explicit kernel(service_registry const& services)
        : services_(&services) {}
    /// Stops what runs.
    ~kernel() { stop(); }
    kernel(kernel const&) = delete;
    kernel& operator=(kernel const&) = delete;

    /// Starts all services. When the order has findings nothing starts; when a
    /// service fails, those already started are stopped again.
    /// @param problems takes the findings
    /// @returns true when everything runs
    bool start(findings& problems);
    /// Stops all running services, the last started first.
    void stop();
    /// @returns the names of what runs, in the order in which it started
    std::vector<service_name> const& running() const noexcept {
        return running_;
    }

private:
    service_registry const* services_;
    std::vector<service_name> running_;
};

} // namespace camphorpoint
