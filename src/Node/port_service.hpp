#pragma once

#include "Kernel/service_registry.hpp"

#include <functional>

namespace camphorpoint {

/// A part of the node as a service of its kernel.
struct port_service {
    std::function<start_result()> begin;
    std::function<void()> end;

    start_result start() { return begin(); }
    void stop() { end(); }
};

} // namespace camphorpoint
