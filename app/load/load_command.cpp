#include "Load/declaration_writer.hpp"
#include "app/command.hpp"
#include "app/load/load_driver.hpp"
#include "app/load/record_reader.hpp"

#include <absl/flags/flag.h>
#include <absl/time/time.h>
#include <fmt/format.h>

#include <charconv>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <system_error>

ABSL_FLAG(
    std::vector<std::string>, entry_nodes, {"127.0.0.1:8001"},
    "caller_address of each node");
ABSL_FLAG(
    std::string, deployment, "inventarwerk",
    "whose mix of requests: inventarwerk or anthokipos");
ABSL_FLAG(double, rate, 50, "requests a second, on average");
ABSL_FLAG(absl::Duration, duration, absl::Seconds(60), "length of the run");
ABSL_FLAG(std::uint64_t, seed, 1, "of the plan");
ABSL_FLAG(std::size_t, adapters, 3'000, "how many adapters");
ABSL_FLAG(double, zipf, 1.3, "exponent of the adapters' popularity");
ABSL_FLAG(double, slow_callers, 0.02, "share of callers that read slowly");
ABSL_FLAG(
    double, breaking_callers, 0.05,
    "share of callers whose connection breaks; they resume through another "
    "node");
ABSL_FLAG(
    double, repeats, 0.2,
    "share of keyed requests that are made again through another node");
ABSL_FLAG(
    double, direct, 0,
    "pairs a second of probes, one to an engine without a node, one through a "
    "node: the added latency of a node. Needs --engines");
ABSL_FLAG(std::vector<std::string>, engines, {}, "the engine stand-ins");
ABSL_FLAG(std::vector<std::string>, services, {}, "the service stand-ins");
ABSL_FLAG(
    bool, verify_records, false,
    "afterwards hold the stand-ins' records against what callers were told");
ABSL_FLAG(std::string, json, "", "file for the report as JSON");
ABSL_FLAG(
    std::string, write_declarations, "",
    "only write the declarations of the adapters into this folder");
ABSL_FLAG(
    std::vector<std::string>, versions, {"1"},
    "versions of the adapters that may answer; the first is declared");
ABSL_FLAG(
    bool, allow_cuts, false,
    "count cut streams, but do not fail: for runs in which nodes are killed");
ABSL_FLAG(
    double, least_done, 0.9,
    "share of the requests that must end as done, or the run has failed");

namespace camphorpoint {

namespace {

std::vector<std::uint32_t> chosen_versions() {
    std::vector<std::uint32_t> result;
    for (std::string const& each : absl::GetFlag(FLAGS_versions)) {
        std::uint32_t version = 0;
        std::from_chars(each.data(), each.data() + each.size(), version);
        result.push_back(version);
    }
    return result;
}

bool write_file(std::filesystem::path const& name, std::string const& text) {
    std::ofstream stream(name, std::ios::binary);
    stream << text;
    return static_cast<bool>(stream.flush());
}

exit_code write_all(deployment const& site, std::string const& folder) {
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    auto const files = write_declarations(
        site, absl::GetFlag(FLAGS_adapters), chosen_versions().front());
    for (declaration_file const& each : files) {
        if (!write_file(std::filesystem::path(folder) / each.name, each.text)) {
            fmt::print(stderr, "load: cannot write {}\n", each.name);
            return exit_code::failed;
        }
    }
    fmt::print("{} files in {}\n", files.size(), folder);
    return exit_code::ok;
}

load_settings settings_from_flags(deployment const& site) {
    load_settings result;
    result.site = site;
    result.rate = absl::GetFlag(FLAGS_rate);
    result.length = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_duration));
    result.adapters = absl::GetFlag(FLAGS_adapters);
    result.zipf_exponent = absl::GetFlag(FLAGS_zipf);
    result.seed = absl::GetFlag(FLAGS_seed);
    result.slow = absl::GetFlag(FLAGS_slow_callers);
    result.breaking = absl::GetFlag(FLAGS_breaking_callers);
    result.repeating = absl::GetFlag(FLAGS_repeats);
    return result;
}

std::string wrong_flag(load_targets const& targets) {
    if (!targets.nodes.valid()) {
        return "--entry_nodes must be addresses such as 127.0.0.1:8001";
    }
    if (absl::GetFlag(FLAGS_rate) <= 0 || absl::GetFlag(FLAGS_adapters) == 0) {
        return "--rate and --adapters must be more than 0";
    }
    if (targets.direct_rate > 0 && targets.engines.empty()) {
        return "--direct needs --engines";
    }
    return {};
}

/// @returns false when the records break a promise or cannot be read
bool verify(load_report const& report) {
    record_audit audit;
    auto const unread = audit_records(
        absl::GetFlag(FLAGS_engines), absl::GetFlag(FLAGS_services),
        report.results(), audit);
    fmt::print("{}\n", audit.summary());
    for (std::string const& each : audit.breaches()) {
        fmt::print("BREACH: {}\n", each);
    }
    for (std::string const& each : unread) {
        fmt::print("UNREAD: no records from {}\n", each);
    }
    return audit.breaches().empty() && unread.empty();
}

exit_code run_plan(deployment const& site, load_targets targets) {
    load_driver driver(settings_from_flags(site), std::move(targets));
    load_report const& report = driver.run();
    fmt::print("{}", report.table());
    std::string const file = absl::GetFlag(FLAGS_json);
    if (!file.empty() && !write_file(file, report.json() + "\n")) {
        fmt::print(stderr, "load: cannot write {}\n", file);
        return exit_code::failed;
    }
    bool good = report.wrong() == 0;
    // Refusing everything would break no promise, and prove nothing.
    good = good && report.share_done() >= absl::GetFlag(FLAGS_least_done);
    good = good && (report.cut() == 0 || absl::GetFlag(FLAGS_allow_cuts));
    if (absl::GetFlag(FLAGS_verify_records)) {
        good = verify(report) && good;
    }
    fmt::print("verdict: {}\n", good ? "passed" : "FAILED");
    return good ? exit_code::ok : exit_code::failed;
}

} // namespace

exit_code run_load(command_words const&) {
    auto const site = find_deployment(absl::GetFlag(FLAGS_deployment));
    auto const versions = chosen_versions();
    if (!site || versions.empty()) {
        fmt::print(
            stderr, "load: --deployment must be inventarwerk or anthokipos, "
                    "and --versions must name one\n");
        return exit_code::usage;
    }
    std::string const folder = absl::GetFlag(FLAGS_write_declarations);
    if (!folder.empty()) {
        return write_all(*site, folder);
    }
    load_targets targets{
        entry_nodes(absl::GetFlag(FLAGS_entry_nodes)),
        absl::GetFlag(FLAGS_engines), absl::GetFlag(FLAGS_direct), versions};
    std::string const wrong = wrong_flag(targets);
    if (!wrong.empty()) {
        fmt::print(stderr, "load: {}\n", wrong);
        return exit_code::usage;
    }
    return run_plan(*site, std::move(targets));
}

} // namespace camphorpoint
