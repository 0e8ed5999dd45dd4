#pragma once

#include "Core/time.hpp"

#include <algorithm>

namespace camphorpoint {

/// How much of the prompts sent to a replica it has still to read. While it
/// reads, every stream of its batch pauses: the pause that callers take for
/// good is soon used up when a few long prompts come together.
class prompt_backlog {
public:
    /// A prompt was sent there.
    void add(unsigned tokens, instant now) {
        tokens_ = remaining_tokens(now) + tokens;
        updated_at_ = now;
    }
    /// Takes over what another node tells.
    void set(double tokens, instant now) {
        tokens_ = tokens;
        updated_at_ = now;
    }
    /// @returns the prompt tokens that it has still to read
    double remaining_tokens(instant now) const {
        std::chrono::duration<double, std::milli> const passed =
            now - updated_at_;
        return std::max(0.0, tokens_ - passed.count() * tokens_per_ms);
    }

private:
    /// Two thirds of what the slower of today's engines reads (29 a ms, from
    /// the users' sheets). The rest is for the streams that go on meanwhile: at
    /// the full speed an event of five tokens takes five steps full of prompt,
    /// which is longer than callers take for good.
    static constexpr double tokens_per_ms = 20;

    double tokens_ = 0;
    instant updated_at_;
};

} // namespace camphorpoint
