#include "Ports/caller_answer.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

namespace camphorpoint {

// Guards against a caller that is told "not run" by the status of a request
// that may have run, such as one whose resend the budget has denied.
TEST_CASE("no status of an unknown outcome promises that nothing has run") {
    constexpr std::array promises{408, 421, 429, 503};
    for (reason const why :
         {reason::limit_reached, reason::retry_budget_empty,
          reason::caller_gone, reason::endpoint_failed, reason::answer_cut,
          reason::deadline_passed, reason::no_endpoint,
          reason::internal_error}) {
        int const status = status_of(outcome::unknown, why);
        CHECK(std::ranges::find(promises, status) == promises.end());
    }
    CHECK(status_of(outcome::not_run, reason::limit_reached) == 429);
    CHECK(status_of(outcome::not_run, reason::no_endpoint) == 503);
    CHECK(status_of(outcome::done, reason::none) == 200);
}

} // namespace camphorpoint
