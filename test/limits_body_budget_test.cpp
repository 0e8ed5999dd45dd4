#include <Camphorpoint/Limits>

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <list>
#include <memory>

namespace camphorpoint {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kilobyte = std::size_t{1} << 10U;
constexpr std::size_t in_all = 1'024 * kilobyte;
/// Left to short bodies: an eighth of all.
constexpr std::size_t for_large = in_all / 8 * 7;

/// A body that is being read.
struct body {
    explicit body(std::shared_ptr<body_budget> const& from)
        : share(std::make_unique<body_budget::share>(
              *from, [this] { yielded = true; })) {}

    bool yielded = false;
    std::unique_ptr<body_budget::share> share;
};

struct budget_fixture {
    std::shared_ptr<body_budget> budget =
        std::make_shared<body_budget>(body_budget_limits{.in_all = in_all});
    std::list<body> bodies;
    instant now{std::chrono::seconds(100)};

    body& add() { return bodies.emplace_back(budget); }
    /// @returns a body that holds this much
    body& add(std::size_t bytes) {
        body& made = add();
        REQUIRE(made.share->resize(bytes, now));
        return made;
    }
};

} // namespace

// Guards against a node that runs out of memory when many callers send large
// bodies, each within its own bound.
TEST_CASE_FIXTURE(
    budget_fixture, "bodies of requests hold a bounded memory together") {
    constexpr std::size_t size = 128 * kilobyte;
    std::size_t granted = 0;
    for (std::size_t each = 0; each < in_all / size; ++each) {
        granted += add().share->resize(size, now) ? 1 : 0;
    }
    CHECK(granted == for_large / size);
    CHECK(budget->held() == for_large);
    CHECK(budget->peak() == for_large);
    CHECK(budget->yields() == 0);
    bodies.clear();
    CHECK(budget->held() == 0);
}

TEST_CASE_FIXTURE(
    budget_fixture, "short bodies go on while large ones use up the memory") {
    body& larger = add(for_large - 128 * kilobyte);
    body const& smaller = add(128 * kilobyte);
    constexpr std::size_t shorts = 512;
    for (std::size_t each = 0; each < shorts; ++each) {
        CHECK(add().share->resize(kilobyte, now));
        bodies.back().share->complete();
    }
    CHECK(larger.yielded);
    CHECK_FALSE(smaller.yielded);
    CHECK(budget->held() <= in_all);
}

TEST_CASE_FIXTURE(budget_fixture, "a body that no longer arrives yields") {
    body const& paused = add(for_large / 2);
    now += milliseconds(600);
    body const& slow = add(for_large / 2);
    now += milliseconds(600);
    body& wanting = add();
    CHECK(wanting.share->resize(for_large / 2, now));
    CHECK(paused.yielded);
    CHECK_FALSE(slow.yielded);
    CHECK_FALSE(wanting.yielded);
    CHECK(budget->held() == for_large);
    CHECK(budget->yields() == 1);
}

TEST_CASE_FIXTURE(budget_fixture, "a body that was read whole yields to none") {
    add(for_large / 2).share->complete();
    now += milliseconds(5'000);
    CHECK(budget->may_fit(for_large / 2));
    CHECK_FALSE(budget->may_fit(for_large / 2 + 1));
    CHECK_FALSE(budget->may_fit(2 * in_all));
    CHECK_FALSE(add().share->resize(for_large / 2 + 1, now));
    CHECK_FALSE(bodies.front().yielded);
    bodies.pop_front();
    CHECK(add().share->resize(for_large, now));
}

} // namespace camphorpoint
