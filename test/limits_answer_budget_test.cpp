#include <Camphorpoint/Limits>

#include <doctest/doctest.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphorpoint {

namespace {

/// One answer and what its budget has asked of it.
struct answer {
    answer(answer_budget& budget, std::string const& server)
        : share(
              std::in_place, budget, server,
              answer_budget::share::callbacks{
                  [this] { yielded = true; },
                  [this] {
                      retried = true;
                  }}) {}
    answer(answer const&) = delete;
    answer& operator=(answer const&) = delete;

    bool grow(std::size_t bytes) { return share->grow(bytes); }

    std::optional<answer_budget::share> share;
    bool yielded = false;
    bool retried = false;
};

constexpr answer_budget_limits small_limits{100, 20, 5};

struct fixture {
    std::shared_ptr<answer_budget> budget =
        std::make_shared<answer_budget>(small_limits);
    answer first{*budget, "a"};
    answer second{*budget, "a"};
    answer other{*budget, "b"};
    answer last{*budget, "c"};
};

} // namespace

// Guards against a sound answer that is given up since another server floods.
TEST_CASE("the largest answer of the server that holds most yields") {
    fixture of;
    std::vector<answer_yield> seen;
    of.budget->observe_yields(
        [&](answer_yield const& each) { seen.push_back(each); });
    CHECK(of.first.grow(20));
    CHECK(of.second.grow(24));
    CHECK(of.other.grow(30));
    CHECK_FALSE(of.last.grow(10));
    CHECK_FALSE(of.first.yielded);
    CHECK(of.second.yielded);
    CHECK_FALSE(of.other.yielded);
    REQUIRE(seen.size() == 1);
    CHECK(seen[0].server == "a");
    CHECK(seen[0].bytes == 24);
    CHECK(seen[0].of_server == 44);
    CHECK(seen[0].in_all == 74);
    // The memory of an answer that yields is free once its reading has ended.
    CHECK_FALSE(of.last.grow(10));
    CHECK_FALSE(of.first.yielded);
    CHECK_FALSE(of.last.retried);
    of.second.share.reset();
    CHECK(of.last.retried);
    CHECK(of.last.grow(10));
    CHECK(of.budget->held() == 60);
    CHECK(of.budget->peak() == 74);
}

// Guards against a flood that is never ended since only its own growth does not
// fit.
TEST_CASE("an answer that grows may be the one that yields") {
    fixture of;
    CHECK(of.other.grow(30));
    CHECK(of.first.grow(40));
    CHECK_FALSE(of.first.grow(60));
    CHECK(of.first.yielded);
    CHECK_FALSE(of.other.yielded);
    of.first.share.reset();
    CHECK(of.budget->held() == 30);
}

// Guards against a ready answer that is dropped before its caller has it, and
// against sound answers that yield to slow callers.
TEST_CASE("complete answers hold their memory and nothing yields for them") {
    fixture of;
    CHECK(of.first.grow(70));
    of.first.share->complete();
    CHECK(of.other.grow(8));
    CHECK_FALSE(of.last.grow(8));
    CHECK_FALSE(of.other.yielded);
    CHECK_FALSE(of.last.yielded);
    of.first.share.reset();
    CHECK(of.last.retried);
    CHECK(of.last.grow(8));
}

// Guards against answers without end that hold the memory until their deadlines
// beside a complete one whose caller is slow, while sound answers wait.
TEST_CASE("a few complete answers do not keep others from yielding") {
    fixture of;
    CHECK(of.first.grow(10));
    of.first.share->complete();
    CHECK(of.other.grow(60));
    CHECK_FALSE(of.last.grow(20));
    CHECK(of.other.yielded);
    CHECK_FALSE(of.last.yielded);
    of.other.share.reset();
    CHECK(of.last.retried);
    CHECK(of.last.grow(20));
}

// Guards against short answers that wait for the slow callers of large ones.
TEST_CASE("part of the memory is kept for short answers") {
    fixture of;
    CHECK(of.first.grow(80));
    of.first.share->complete();
    CHECK_FALSE(of.other.grow(6));
    CHECK(of.other.grow(5));
    CHECK(of.last.grow(5));
    CHECK(of.budget->held() == 90);
}

} // namespace camphorpoint
