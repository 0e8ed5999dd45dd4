#include "link/faulty_link.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

ABSL_FLAG(
    std::vector<std::string>, ways, {},
    "what is forwarded, each ADDRESS=TARGET");
ABSL_FLAG(std::uint64_t, seed, 1, "of the faults");
ABSL_FLAG(
    unsigned, stray_percent, 0,
    "requests after a connection's first that a stray answer precedes");
ABSL_FLAG(unsigned, cut_percent, 0, "requests that end their connection");
ABSL_FLAG(unsigned, delay_percent, 0, "pieces that are held back");
ABSL_FLAG(unsigned, copy_percent, 0, "short answers that arrive twice");
ABSL_FLAG(unsigned, broken_percent, 0, "pieces of answers that break off");
ABSL_FLAG(unsigned, endless_percent, 0, "requests answered without end");
ABSL_FLAG(unsigned, endless_ways, 0, "first ways where that occurs");

ABSL_FLAG(
    std::vector<std::string>, deaf_ways, {},
    "addresses of ways that accept connections and read nothing");

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "A stand-in of the links between a node and replicas.");
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context io(1);
    standins::link_faults faults;
    faults.stray = absl::GetFlag(FLAGS_stray_percent);
    faults.cut = absl::GetFlag(FLAGS_cut_percent);
    faults.delay = absl::GetFlag(FLAGS_delay_percent);
    faults.copy = absl::GetFlag(FLAGS_copy_percent);
    faults.broken = absl::GetFlag(FLAGS_broken_percent);
    faults.endless = absl::GetFlag(FLAGS_endless_percent);
    unsigned endless_ways = absl::GetFlag(FLAGS_endless_ways);
    standins::faulty_link link(io, faults, absl::GetFlag(FLAGS_seed));
    std::vector<std::string> const deaf = absl::GetFlag(FLAGS_deaf_ways);
    for (std::string const& each : absl::GetFlag(FLAGS_ways)) {
        std::size_t const equals = each.find('=');
        bool const is_deaf =
            std::ranges::count(deaf, each.substr(0, equals)) > 0;
        std::string const problem = link.listen(
            camphorpoint::parse_address(each.substr(0, equals)),
            camphorpoint::parse_address(each.substr(equals + 1)),
            {.endless = endless_ways > 0, .deaf = is_deaf});
        endless_ways -= endless_ways > 0 ? 1 : 0;
        if (!problem.empty()) {
            fmt::print(stderr, "cannot listen on {}: {}\n", each, problem);
            return 1;
        }
    }
    io.run();
    return 0;
}
