#pragma once

#include "Ports/http_client.hpp"
#include "test/gateway/scripted_replica.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <string>
#include <string_view>

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
    /// @param runs number of attempts so far
    void add_answer(fetch_result const& answer, std::size_t runs) {
        std::string_view rest = answer.response.body;
        while (!rest.empty()) {
            std::size_t const end = rest.find("\n\n");
            if (end == std::string_view::npos) {
                problem_ += fmt::format("incomplete event '{}'; ", rest);
                break;
            }
            add_event(rest.substr(0, end + 2), runs);
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
    bool complete() const noexcept { return complete_; }

private:
    void add_event(std::string_view event, std::size_t runs) {
        bool known = false;
        for (std::size_t run = 1; run <= runs; ++run) {
            known = known || event == scripted_replica::event(run, last_ + 1);
        }
        if (!known) {
            problem_ += fmt::format("'{}' after {}; ", event, last_);
        }
        ++last_;
    }

    std::string problem_;
    unsigned events_;
    unsigned last_;
    bool complete_ = false;
};

} // namespace camphorpoint::testing
