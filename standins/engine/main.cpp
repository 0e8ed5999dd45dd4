#include "common/standin_main.hpp"
#include "engine/engine_http.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <string>

using std::chrono::microseconds;
using std::chrono::milliseconds;

ABSL_FLAG(std::string, listen, "127.0.0.1:7101", "address to serve on");
ABSL_FLAG(std::string, store, "", "address of the weight store, if any");
ABSL_FLAG(int, step_ms, 10, "time of a step, without its sequences");
ABSL_FLAG(int, step_us_per_sequence, 500, "added for each sequence");
ABSL_FLAG(std::uint32_t, batch, 8, "sequences in a batch");
ABSL_FLAG(std::uint32_t, waiting, 32, "requests that may wait");
ABSL_FLAG(std::uint32_t, slots, 8, "adapter slots");
ABSL_FLAG(int, load_ms, 100, "time of a load, without its fetch");
ABSL_FLAG(bool, check_fencing, false, "refuse orders of an older owner");
ABSL_FLAG(
    std::string, evict_under_use, "refuse",
    "allow: evicts under a request, and records it as a violation");
ABSL_FLAG(double, fail_loads, 0, "share of loads that fail");
ABSL_FLAG(std::uint64_t, seed, 1, "of the failing loads and event gaps");
ABSL_FLAG(int, report_lag_ms, 200, "how far load reports lag");
ABSL_FLAG(int, grace_ms, 5000, "how long an unread run goes on");
ABSL_FLAG(int, keep_streams_ms, 60000, "how long an ended stream is kept");
ABSL_FLAG(std::string, faults, "{}", "faults from the start, as for /admin");

namespace {

standins::engine_settings settings_from_flags() {
    standins::engine_settings result;
    result.step_base = milliseconds(absl::GetFlag(FLAGS_step_ms));
    result.step_per_sequence =
        microseconds(absl::GetFlag(FLAGS_step_us_per_sequence));
    result.batch_limit = absl::GetFlag(FLAGS_batch);
    result.waiting_limit = absl::GetFlag(FLAGS_waiting);
    result.adapter_slots = absl::GetFlag(FLAGS_slots);
    result.load_time = milliseconds(absl::GetFlag(FLAGS_load_ms));
    result.checks_fencing = absl::GetFlag(FLAGS_check_fencing);
    result.evicts_under_use = absl::GetFlag(FLAGS_evict_under_use) == "allow";
    result.failing_loads = absl::GetFlag(FLAGS_fail_loads);
    result.seed = absl::GetFlag(FLAGS_seed);
    result.report_lag = milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
    result.unread_grace = milliseconds(absl::GetFlag(FLAGS_grace_ms));
    result.kept_streams = milliseconds(absl::GetFlag(FLAGS_keep_streams_ms));
    return result;
}

} // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage("A stand-in of a model engine.");
    absl::ParseCommandLine(argc, argv);
    std::string const under_use = absl::GetFlag(FLAGS_evict_under_use);
    if (under_use != "allow" && under_use != "refuse") {
        fmt::print(stderr, "--evict_under_use must be allow or refuse\n");
        return 2;
    }
    boost::asio::io_context io(1);
    standins::engine_http engine(
        io, settings_from_flags(), absl::GetFlag(FLAGS_store));
    engine.administer(standins::json_body(absl::GetFlag(FLAGS_faults)));
    engine.start();
    return standins::serve_standin(
        io, absl::GetFlag(FLAGS_listen),
        [&](camphorpoint::http_exchange& exchange) {
            return engine.answer(exchange);
        });
}
