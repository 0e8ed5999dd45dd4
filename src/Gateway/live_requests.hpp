#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <utility>

namespace camphorpoint {

/// The requests in progress at a node.
class live_requests {
    using end_functions = std::list<std::function<void()>>;

public:
    /// One request, for as long as this lives. It may outlive live_requests.
    class entry {
    public:
        /// @param end ends the request, and may not destroy any entry
        entry(live_requests const& among, std::function<void()> end)
            : ends_(among.ends_)
            , at_(ends_->insert(ends_->end(), std::move(end))) {}
        ~entry() { ends_->erase(at_); }
        entry(entry const&) = delete;
        entry& operator=(entry const&) = delete;

    private:
        std::shared_ptr<end_functions> ends_;
        end_functions::iterator at_;
    };

    /// @returns the number of requests in progress
    std::size_t size() const noexcept { return ends_->size(); }
    /// Ends all requests in progress.
    void end_all() const {
        for (auto const& end : *ends_) {
            end();
        }
    }

private:
    std::shared_ptr<end_functions> ends_ = std::make_shared<end_functions>();
};

} // namespace camphorpoint
