#pragma once

#include "Ports/http_client.hpp"
#include "test/gateway/scripted_replica.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint::testing {

/// The events that a caller received of one stream, over all its requests for
/// it.
class caller_stream {
public:
    /// @param events number of events of a complete stream
    /// @param after  the last event that the caller already has, 0 for none
    explicit caller_stream(unsigned events, unsigned after = 0)
        : events_(events)
        , last_(after) {}

    /// Checks and adds the events of an answer, complete or truncated.
    /// @param run_starts Last-Event-Id of each attempt so far, 0 for none
    void add_answer(
        fetch_result const& answer, std::vector<unsigned> const& run_starts) {
        std::string_view rest = answer.response.body;
        while (!rest.empty()) {
            std::size_t const end = rest.find("\n\n");
            if (end == std::string_view::npos) {
                problem_ += fmt::format("incomplete event '{}'; ", rest);
                break;
            }
            add_event(rest.substr(0, end + 2), run_starts);
            rest.remove_prefix(end + 2);
        }
        complete_ = answer.how == call_result::answered &&
                    answer.response.status == 200;
        if (complete_ && last_ != events_) {
            problem_ += fmt::format("complete after {}; ", last_);
        }
    }

    /// @returns the errors in the received events, empty for none
    std::string const& problem() const noexcept { return problem_; }
    unsigned last() const noexcept { return last_; }
    /// @returns number of the attempt that has written the last event, 0 for
    ///          none
    std::size_t run() const noexcept { return run_; }
    bool complete() const noexcept { return complete_; }

private:
    void
    add_event(std::string_view event, std::vector<unsigned> const& run_starts) {
        std::size_t run = run_starts.size();
        while (run > 0 && event != scripted_replica::event(run, last_ + 1)) {
            --run;
        }
        if (run == 0) {
            problem_ += fmt::format("'{}' after {}; ", event, last_);
        } else if (run != run_ && run_starts[run - 1] != last_) {
            problem_ += fmt::format(
                "event {} of run {}, which began after {}; ", last_ + 1, run,
                run_starts[run - 1]);
        }
        run_ = run;
        ++last_;
    }

    std::string problem_;
    unsigned events_;
    unsigned last_;
    /// The attempt that has written the last event, 0 for none.
    std::size_t run_ = 0;
    bool complete_ = false;
};

} // namespace camphorpoint::testing
