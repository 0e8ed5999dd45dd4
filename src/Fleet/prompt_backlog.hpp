#pragma once

#include "Core/time.hpp"
#include "Fleet/replica_pace.hpp"

#include <algorithm>
#include <chrono>

namespace camphorpoint {

/// Estimates how many of the prompt tokens sent to a replica it has yet to
/// process. While the replica processes a prompt, every stream of its batch
/// pauses. A few long prompts that arrive together soon exceed the pause that
/// callers accept as good service.
class prompt_backlog {
public:
    /// Adds a prompt that was sent to the replica.
    void add(unsigned tokens, instant now) {
        tokens_ = remaining_tokens(now) + tokens;
        updated_at_ = now;
    }
    /// Replaces the estimate by one that another node reported.
    void set(double tokens, instant now) {
        tokens_ = tokens;
        updated_at_ = now;
    }
    /// Sets how long the replica takes for a token from now on.
    void set_token_time(duration time, instant now) {
        tokens_ = remaining_tokens(now);
        updated_at_ = now;
        token_time_ = time;
    }
    /// @returns the prompt tokens that the replica has yet to process
    double remaining_tokens(instant now) const {
        std::chrono::duration<double> const passed = now - updated_at_;
        std::chrono::duration<double> const token = token_time_;
        return std::max(0.0, tokens_ - passed / token);
    }

private:
    duration token_time_ = replica_speed::default_token_time;
    double tokens_ = 0;
    instant updated_at_;
};

} // namespace camphorpoint
