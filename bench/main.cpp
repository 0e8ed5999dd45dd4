#include "capacity.hpp"
#include "report.hpp"
#include "runner.hpp"
#include "slope.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <algorithm>
#include <optional>

ABSL_FLAG(std::string, policy, "", "run: only this policy; empty means all");
ABSL_FLAG(std::uint64_t, seed, 1, "the first seed");
ABSL_FLAG(std::uint32_t, seeds, 5, "compare: how many seeds");
ABSL_FLAG(std::string, fault, "none", "what goes wrong");
ABSL_FLAG(
    double, load, 0,
    "stationary load as part of the token capacity; 0 takes the preset's");
ABSL_FLAG(std::string, json, "", "where to write the figures as JSON");
ABSL_FLAG(std::string, out, "bench", "plot: the pictures' common path");

namespace camphorpoint::bench {

namespace {

constexpr char usage[] =
    "Measures the decisions against baselines in virtual time.\n"
    "  camphorpoint-bench run PRESET [--policy NAME] [--seed N]\n"
    "  camphorpoint-bench compare PRESET [--seeds N]\n"
    "  camphorpoint-bench plot PRESET [--seeds N] --out STEM\n"
    "  camphorpoint-bench slope\n"
    "  camphorpoint-bench capacity\n"
    "Presets: inventarwerk, anthokipos. Faults: none, popularity-shift,\n"
    "cold-start, failed-loads, store-slow, store-down, owner-paused,\n"
    "log-outage. Policies: random, round-robin, least-loaded, rendezvous,\n"
    "camphorpoint.";

/// What the command line asks for.
struct task {
    std::string command;
    preset workload;
    fault what = fault::none;
    std::vector<std::string> policies;
    std::uint64_t first_seed = 1;
    std::uint32_t seeds = 1;
};

std::optional<task> read_task(std::vector<char*> const& words) {
    constexpr std::size_t wanted_words = 3;
    if (words.size() != wanted_words) {
        return std::nullopt;
    }
    auto const workload = find_preset(words[2]);
    auto const what = parse_fault(absl::GetFlag(FLAGS_fault));
    if (!workload || !what) {
        return std::nullopt;
    }
    task result{words[1], *workload, *what, policy_names()};
    if (absl::GetFlag(FLAGS_load) > 0) {
        result.workload.load = absl::GetFlag(FLAGS_load);
    }
    std::string const policy = absl::GetFlag(FLAGS_policy);
    if (!policy.empty()) {
        if (std::ranges::count(result.policies, policy) == 0) {
            return std::nullopt;
        }
        result.policies = {policy};
    }
    result.first_seed = absl::GetFlag(FLAGS_seed);
    result.seeds = result.command == "run" ? 1 : absl::GetFlag(FLAGS_seeds);
    return result;
}

std::vector<policy_runs> run_all(task const& what) {
    std::vector<policy_runs> all;
    for (std::string const& each : what.policies) {
        all.push_back({each, {}});
    }
    std::vector<bounds> limits;
    for (std::uint32_t count = 0; count < what.seeds; ++count) {
        std::uint64_t const seed = what.first_seed + count;
        trace const input = make_trace(what.workload, seed, what.what);
        limits.push_back(find_bounds(what.workload, input));
        for (policy_runs& each : all) {
            each.runs.push_back(
                run_policy(what.workload, input, each.policy, seed, what.what));
        }
    }
    print_bounds(limits);
    return all;
}

int finish(task const& what, std::vector<policy_runs> const& all) {
    print_table(all);
    std::string const json = absl::GetFlag(FLAGS_json);
    if (!json.empty() && !write_json(json, all)) {
        fmt::print(stderr, "cannot write {}\n", json);
        return 1;
    }
    std::string const stem = absl::GetFlag(FLAGS_out);
    if (what.command == "plot" && !write_plots(stem, all)) {
        fmt::print(stderr, "gnuplot is missing or failed\n");
        return 1;
    }
    return 0;
}

int run_main(std::vector<char*> const& words) {
    constexpr std::size_t command_only = 2;
    if (words.size() == command_only && words[1] == std::string("slope")) {
        print_slopes();
        return 0;
    }
    if (words.size() == command_only && words[1] == std::string("capacity")) {
        print_capacity();
        return 0;
    }
    std::optional<task> const what = read_task(words);
    if (!what) {
        fmt::print(stderr, "{}\n", usage);
        return 2;
    }
    fmt::print(
        "{}: fault {}, load {:.2f}, {:.1f} requests/s, token capacity "
        "{:.0f}/s, seeds {}..{}\n",
        what->workload.name, to_string(what->what), what->workload.load,
        what->workload.request_rate(), what->workload.token_capacity(),
        what->first_seed, what->first_seed + what->seeds - 1);
    return finish(*what, run_all(*what));
}

} // namespace

} // namespace camphorpoint::bench

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(camphorpoint::bench::usage);
    return camphorpoint::bench::run_main(absl::ParseCommandLine(argc, argv));
}
