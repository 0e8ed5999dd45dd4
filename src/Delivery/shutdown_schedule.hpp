#pragma once

#include "Core/time.hpp"

namespace camphorpoint {

/// The course of a node's shutdown.
class shutdown_schedule {
public:
    /// Begins the shutdown.
    void begin(instant now) {
        begun_ = true;
        began_at_ = now;
    }
    /// @returns true when the shutdown has begun
    bool begun() const noexcept { return begun_; }
    /// @returns when the shutdown began
    instant began_at() const noexcept { return began_at_; }

private:
    bool begun_ = false;
    instant began_at_{};
};

} // namespace camphorpoint
