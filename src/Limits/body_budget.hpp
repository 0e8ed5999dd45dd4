#pragma once

#include "Core/time.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>

namespace camphorpoint {

/// How much memory the bodies of requests may take, in bytes.
struct body_budget_limits {
    std::size_t in_all = std::size_t{64} << 20U;
    /// Part of in_all that only short bodies get, at most an eighth of it.
    /// Without it, large requests that wait for their answers hold up all
    /// others.
    std::size_t for_short = std::size_t{8} << 20U;
    /// A body up to this length is short.
    std::size_t longest_short = std::size_t{64} << 10U;
    /// A body of which nothing has arrived for so long yields first. The bytes
    /// of a caller that sends arrive more often, also over a slow link.
    duration longest_pause = std::chrono::seconds(1);
};

/// Divides memory among the bodies of requests. While it is used up, a body
/// that no longer arrives yields to any, and the largest that is being read to
/// short ones. A body that was read whole never yields, since its request may
/// have been sent on. Must be owned by a shared_ptr.
class body_budget : public std::enable_shared_from_this<body_budget> {
public:
    /// The memory of one body.
    class share {
    public:
        /// @param from  owned by a shared_ptr
        /// @param yield releases the memory of the body at once; may not
        ///              destroy a share
        share(body_budget& from, std::function<void()> yield);
        /// Releases the memory.
        ~share();
        share(share const&) = delete;
        share& operator=(share const&) = delete;

        /// Asks for memory. Other bodies may yield for it.
        /// @param bytes what the body holds in all from here on
        /// @returns false when there is not as much
        bool resize(std::size_t bytes, instant now);
        /// Notes that bytes of the body have arrived.
        void note_arrival(instant now) noexcept { arrived_at_ = now; }
        /// The body was read whole.
        void complete();

    private:
        friend class body_budget;

        std::shared_ptr<body_budget> from_;
        std::function<void()> yield_;
        std::list<share*>::iterator place_;
        std::size_t bytes_ = 0;
        instant arrived_at_{};
        bool complete_ = false;
    };

    explicit body_budget(body_budget_limits limits = {});

    /// @returns true when bodies that were read whole leave room for one of
    ///          this length
    bool may_fit(std::size_t length) const noexcept;
    /// @returns what all bodies hold, in bytes
    std::size_t held() const noexcept { return held_; }
    /// @returns the most that held has returned, in bytes
    std::size_t peak() const noexcept { return peak_; }
    /// @returns how many bodies have yielded to others
    std::size_t yields() const noexcept { return yields_; }

private:
    std::size_t limit_for(std::size_t bytes) const noexcept;
    bool make_room(share const& wanting, std::size_t bytes, instant now);
    share*
    find_yielding(share const& wanting, std::size_t bytes, instant now) const;
    void set(share& of, std::size_t bytes);

    body_budget_limits limits_;
    /// Of bodies that are being read.
    std::list<share*> reading_;
    std::size_t held_ = 0;
    std::size_t held_by_complete_ = 0;
    std::size_t peak_ = 0;
    std::size_t yields_ = 0;
};

} // namespace camphorpoint
