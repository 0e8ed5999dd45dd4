#pragma once

#include "Core/time.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

namespace camphorpoint {

/// How long a request waits for a read that shows that this node's view is
/// current.
inline constexpr std::chrono::milliseconds view_read_patience{300};

/// Decides when this node reads whether the store has anything that its view
/// lacks. Only a read that was sent after a request arrived shows that the view
/// contains all that other nodes knew when they handled earlier requests; an
/// answer to an earlier read proves nothing. One read serves all requests that
/// arrived before it was sent.
class view_read_schedule {
public:
    /// Records that a request needs a current view.
    void request(instant arrived) noexcept {
        wanted_ = std::max(wanted_, arrived);
    }
    /// @returns when the next read may be sent; nothing when no request waits
    ///          for one
    std::optional<instant> next_read(instant now) const {
        bool const wanted =
            wanted_ > began_ && now < wanted_ + view_read_patience;
        return wanted ? std::optional(next_at_) : std::nullopt;
    }
    /// Records that a read is sent.
    /// @param nodes number of running nodes
    void begin(instant now, unsigned nodes) {
        began_ = now;
        next_at_ = now + std::max<duration>(
                             min_interval, nodes * min_interval_per_node);
    }
    /// Records the end of the read that began last.
    /// @param current the store has answered, and the view lacks nothing
    void end(bool current) noexcept {
        ended_ = began_;
        current_ = current;
    }
    /// @returns whether the view was current after the request arrived; nothing
    ///          when no read that was sent since then has ended
    std::optional<bool> outcome(instant arrived) const {
        return ended_ < arrived ? std::nullopt : std::optional(current_);
    }

private:
    static constexpr std::chrono::milliseconds min_interval{20};
    /// A read is two calls. All nodes together make at most 1,000 of the 2,000
    /// calls a second that the store reads.
    static constexpr std::chrono::milliseconds min_interval_per_node{2};

    instant wanted_;
    instant began_;
    instant ended_;
    instant next_at_;
    bool current_ = false;
};

} // namespace camphorpoint
