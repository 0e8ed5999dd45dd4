#include "test/fuzz/commands.hpp"
#include "test/fuzz/world.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>
#include <sstream>
#include <string>
#include <vector>

namespace camphorpoint::fuzz {

namespace {

// What tools/check runs: the same cases each time.
constexpr std::uint64_t ci_seed = 20'261'202;
constexpr int ci_cases = 250;
// Of a long run, between two looks at the clock.
constexpr int round_cases = 60;
constexpr int size = 60;

struct totals {
    std::size_t cases = 0;
    std::size_t commands = 0;
    std::size_t runs = 0;
    std::size_t done = 0;
};

struct check_result {
    bool held = false;
    std::string story;
};

std::string joined(std::vector<std::string> const& breaches) {
    std::string text;
    for (std::string const& each : breaches) {
        text += each + "; ";
    }
    return text;
}

check_result check(std::uint64_t seed, int cases, totals& sum) {
    auto property = [&sum] {
        auto const commands =
            *rc::gen::container<std::vector<command>>(any_command());
        world trial;
        std::vector<std::string> const breaches = trial.run(commands);
        ++sum.cases;
        sum.commands += commands.size();
        sum.runs += trial.all.runs.size();
        for (auto const& [id, ends] : trial.all.endings) {
            sum.done += ends.front().how == outcome::done ? 1 : 0;
        }
        if (!breaches.empty()) {
            RC_FAIL(joined(breaches));
        }
    };
    rc::detail::TestMetadata metadata;
    metadata.id = "cluster";
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    params.maxSize = size;
    auto const result =
        rc::detail::checkTestable(std::move(property), metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    return {result.is<rc::detail::SuccessResult>(), text.str()};
}

std::uint64_t number_from(char const* name, std::uint64_t otherwise) {
    char const* const text = std::getenv(name);
    return text == nullptr ? otherwise : std::stoull(text);
}

void print(std::uint64_t seed, totals const& sum, std::size_t findings) {
    std::cout << fmt::format(
        "fuzz: seed {}: {} cases, {} commands, {} runs, {} done, {} "
        "findings\n",
        seed, sum.cases, sum.commands, sum.runs, sum.done, findings);
}

} // namespace

// Anything at any moment, together or twice: pauses, deaths, partitions, lost
// and late messages, log outages, engine faults, planned stops. A user would
// see a booking made twice, an answer of another version, or work lost.
TEST_CASE("whatever fails together, what must always hold does") {
    totals sum;
    check_result const result = check(ci_seed, ci_cases, sum);
    CHECK_MESSAGE(result.held, result.story);
    // Faults must leave enough work that runs for the oracle to see.
    CHECK(sum.done > sum.cases);
}

// Long runs: tools/fuzz sets seed and seconds. Each round has a seed of its
// own, so that a finding is found again by its seed alone.
TEST_CASE("long fuzzing" * doctest::skip()) {
    std::uint64_t seed = number_from("CAMPHORPOINT_FUZZ_SEED", 1);
    std::chrono::seconds const length(
        number_from("CAMPHORPOINT_FUZZ_SECONDS", 60));
    auto const rounds = number_from("CAMPHORPOINT_FUZZ_ROUNDS", 1'000'000);
    auto const end = std::chrono::steady_clock::now() + length;
    std::uint64_t const first = seed;
    totals sum;
    std::size_t findings = 0;
    for (std::uint64_t round = 0;
         round < rounds && std::chrono::steady_clock::now() < end; ++round) {
        check_result const result = check(seed, round_cases, sum);
        if (!result.held) {
            ++findings;
            std::cout << "fuzz: finding of seed " << seed << "\n"
                      << result.story << std::endl;
        }
        ++seed;
    }
    print(first, sum, findings);
    CHECK(findings == 0);
}

} // namespace camphorpoint::fuzz
