#pragma once

#include "Limits/concurrency_limiter.hpp"

namespace camphorpoint {

/// A limit that never changes, for endpoints whose capacity is known.
class fixed_limit {
public:
    /// Applies when the platform knows no capacity.
    static constexpr std::uint32_t default_limit = 16;

    /// @param capacity requests at a time; 0 when not known
    explicit fixed_limit(std::uint32_t capacity) noexcept
        : limit_(capacity == 0 ? default_limit : capacity) {}

    /// @returns requests at a time
    double limit() const noexcept { return limit_; }
    void on_sample(limit_sample const&) noexcept {}

private:
    std::uint32_t limit_;
};

static_assert(concurrency_limiter<fixed_limit>);

} // namespace camphorpoint
