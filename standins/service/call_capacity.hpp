#pragma once

#include <chrono>
#include <cstdint>

namespace standins {

/// How a plain service copes with calls at once.
class call_capacity {
public:
    /// @param at_once   calls at full speed; twice as many are refused
    /// @param base_time of a call at full speed
    call_capacity(std::uint32_t at_once, std::chrono::milliseconds base_time)
        : at_once_(at_once)
        , base_time_(base_time) {}

    /// A call wants to begin.
    /// @returns false when the service is overloaded
    bool begin() noexcept;
    /// A call has ended.
    void end() noexcept { --running_; }
    /// @returns how long a call takes that begins now: it grows with the
    /// square of the crowding, as queues do before their limit
    std::chrono::milliseconds time() const noexcept;
    /// Shifts the capacity, as a busy neighbour would.
    void set_at_once(std::uint32_t at_once) noexcept { at_once_ = at_once; }

private:
    std::uint32_t at_once_;
    std::chrono::milliseconds base_time_;
    std::uint32_t running_ = 0;
};

} // namespace standins
