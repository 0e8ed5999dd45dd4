#include <Camphorpoint/Limits>

#include <doctest/doctest.h>

#include <string>

namespace camphorpoint::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

// Guards against a retry storm: a failure domain fails, each request to it is
// retried three times, and the load on the remaining endpoints is fourfold.
TEST_CASE("a failing failure domain causes no retry storm") {
    retry_settings settings;
    retry_budget budget(settings);
    instant const start{};
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    // 200 requests per second for 60 s, from 20 caller groups to 4 endpoints.
    for (int index = 0; index < 12'000; ++index) {
        instant const now = start + index * milliseconds(5);
        endpoint_id const to("e" + std::to_string(index % 4));
        std::string const group = "g" + std::to_string(index % 20);
        budget.on_request(to, group, now);
        ++requests;
        for (int attempt = 0; attempt < 3; ++attempt) {
            retries += budget.try_retry(to, group, now) ? 1 : 0;
        }
    }
    double const attempts = static_cast<double>(requests + retries);
    double const floor_retries = 4 * (settings.min_retries_per_second * 60 + 1);
    double const bound = 1.0 + settings.retries_per_request +
                         floor_retries / static_cast<double>(requests);
    CHECK(attempts / static_cast<double>(requests) <= bound);
    CHECK(attempts / static_cast<double>(requests) < 1.12);
    CHECK(budget.allowed() == retries);
    CHECK(
        budget.refused_by_endpoint() + budget.refused_by_group() ==
        3 * requests - retries);
}

TEST_CASE("retries while most requests succeed") {
    retry_settings settings;
    settings.max_budgets = 4;
    retry_budget budget(settings);
    instant const now{};
    endpoint_id const to("e");

    SUBCASE("the first failure of a new caller group can be retried") {
        budget.on_request(to, "g", now);
        CHECK(budget.try_retry(to, "g", now));
        CHECK_FALSE(budget.try_retry(to, "g", now));
    }
    SUBCASE("one caller group's failures do not use the budget of others") {
        for (int index = 0; index < 100; ++index) {
            budget.on_request(to, "good", now);
        }
        CHECK(budget.try_retry(to, "bad", now));
        CHECK_FALSE(budget.try_retry(to, "bad", now));
        CHECK(budget.refused_by_group() == 1);
        CHECK(budget.try_retry(to, "good", now));
    }
    SUBCASE("the number of budgets in memory is bounded") {
        for (int index = 0; index < 10; ++index) {
            budget.on_request(to, "g" + std::to_string(index), now);
        }
        CHECK(budget.groups() == 4);
    }
    SUBCASE("backoff grows, is random, and has an upper bound") {
        std::mt19937_64 random(1);
        duration longest{};
        for (int index = 0; index < 1'000; ++index) {
            CHECK(budget.backoff(1, random) <= milliseconds(25));
            longest = std::max(longest, budget.backoff(30, random));
        }
        CHECK(longest <= seconds(2));
        CHECK(longest > milliseconds(1'900));
    }
}

} // namespace camphorpoint::test
