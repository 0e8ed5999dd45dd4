#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

namespace camphorpoint {

/// How much memory the bodies of answers may take, in bytes.
struct answer_budget_limits {
    std::size_t in_all = std::size_t{48} << 20U;
    /// Part of in_all that only short answers get. Without it, large answers
    /// whose callers read slowly hold up all others.
    std::size_t for_short = std::size_t{8} << 20U;
    /// An answer up to this length is short.
    std::size_t longest_short = std::size_t{64} << 10U;
};

/// An answer that was given up for the memory that it held.
struct answer_yield {
    std::string server;
    /// What the answer held, in bytes.
    std::size_t bytes = 0;
    /// What the answers of its server that were being read held, in bytes.
    std::size_t of_server = 0;
    /// What all answers held, in bytes.
    std::size_t in_all = 0;
};

/// Divides memory among the bodies of answers. While answers that are being
/// read would fill it, one of the server that holds most of it yields, its
/// largest first. An answer that was read whole never yields; where such
/// answers hold more than half of it, others wait until their callers have
/// them. Must be owned by a shared_ptr.
class answer_budget : public std::enable_shared_from_this<answer_budget> {
public:
    /// The memory of one answer.
    class share {
    public:
        /// What the budget calls; neither may destroy a share.
        struct callbacks {
            /// Ends the reading: its memory is released once it has ended.
            std::function<void()> yield;
            /// Memory was released: grow may succeed now.
            std::function<void()> retry;
        };

        /// @param from   owned by a shared_ptr
        /// @param server names the server that sends the answer
        share(answer_budget& from, std::string server, callbacks calls);
        /// Releases the memory.
        ~share();
        share(share const&) = delete;
        share& operator=(share const&) = delete;

        /// Asks for memory.
        /// @param bytes what the answer holds in all from here on
        /// @returns false when it may not be allocated yet. Answers may yield
        ///          for it, also this one.
        bool grow(std::size_t bytes);
        /// The answer was read whole.
        void complete();

    private:
        friend class answer_budget;

        bool is_reading() const noexcept { return !complete_ && !yields_; }

        std::shared_ptr<answer_budget> from_;
        std::string server_;
        callbacks calls_;
        std::size_t bytes_ = 0;
        bool complete_ = false;
        bool yields_ = false;
        bool waits_ = false;
    };

    explicit answer_budget(answer_budget_limits limits = {});

    /// @returns what the bodies of all answers hold, in bytes
    std::size_t held() const noexcept { return held_; }
    /// @returns the most that held has returned, in bytes
    std::size_t peak() const noexcept { return peak_; }
    /// @returns how many answers have yielded
    std::size_t yields() const noexcept { return yields_; }
    /// Sets what is told of each answer that yields.
    void observe_yields(std::function<void(answer_yield const&)> observer) {
        observer_ = std::move(observer);
    }

private:
    void add(std::size_t bytes);
    void release(share& from);
    std::size_t limit_for(std::size_t bytes) const;
    /// @returns what the answers that are being read, and do not yield, hold
    std::size_t held_by_reading() const;
    /// @returns how much of a limit the answers that are being read may hold
    ///          before one of them yields
    std::size_t left_by_complete(std::size_t limit) const;
    bool yield_one();

    answer_budget_limits limits_;
    std::list<share*> shares_;
    std::size_t held_ = 0;
    std::size_t peak_ = 0;
    std::size_t yields_ = 0;
    std::function<void(answer_yield const&)> observer_;
};

} // namespace camphorpoint
