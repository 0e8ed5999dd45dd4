#include "common/standin_main.hpp"
#include "log/log_http.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:7001", "address to serve on");
ABSL_FLAG(std::size_t, keep_records, 1'000'000, "records kept per stream");
ABSL_FLAG(std::int64_t, keep_ms, 86'400'000, "age at which records expire");
ABSL_FLAG(double, appends_per_second, 400, "above it 429; 0 for no limit");
ABSL_FLAG(std::string, faults, "{}", "faults from the start, as for /admin");

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage("A stand-in of the platform's log service.");
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context io(1);
    standins::retention kept;
    kept.records = absl::GetFlag(FLAGS_keep_records);
    kept.age = std::chrono::milliseconds(absl::GetFlag(FLAGS_keep_ms));
    standins::log_http log(kept, absl::GetFlag(FLAGS_appends_per_second));
    log.faults().change(standins::json_body(absl::GetFlag(FLAGS_faults)));
    return standins::serve_standin(
        io, absl::GetFlag(FLAGS_listen),
        [&](camphorpoint::http_exchange& exchange) {
            return log.answer(exchange);
        });
}
