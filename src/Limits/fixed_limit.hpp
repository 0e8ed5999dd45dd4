#pragma once

#include "Limits/concurrency_limiter.hpp"

namespace camphorpoint {

/// Constant limit, for endpoints whose capacity is known.
class fixed_limit {
public:
    /// Limit when the platform does not know the capacity, in concurrent
    /// requests.
    static constexpr std::uint32_t default_limit = 16;

    /// @param capacity this node's quota share of the endpoint's capacity, in
    ///                 concurrent requests; 0 when not known
    explicit fixed_limit(std::uint32_t capacity) noexcept
        : limit_(capacity == 0 ? default_limit : capacity) {}

    /// @returns the number of concurrent requests
    double limit() const noexcept { return limit_; }
    void on_sample(limit_sample const&) noexcept {}

private:
    std::uint32_t limit_;
};

static_assert(concurrency_limiter<fixed_limit>);

} // namespace camphorpoint
