#pragma once

#include "Core/time.hpp"

#include <algorithm>

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
    /// @returns the prompt tokens that the replica has yet to process
    double remaining_tokens(instant now) const {
        std::chrono::duration<double, std::milli> const passed =
            now - updated_at_;
        return std::max(0.0, tokens_ - passed.count() * tokens_per_ms);
    }

private:
    /// Two thirds of the rate of the slower of today's engines (29 tokens per
    /// ms, from the engines' data sheets). The remaining third is for the
    /// streams that continue meanwhile: at the full rate, an event of five
    /// tokens would take five steps full of prompt tokens, which is longer than
    /// callers accept as good service.
    static constexpr double tokens_per_ms = 20;

    double tokens_ = 0;
    instant updated_at_;
};

} // namespace camphorpoint
