#include "common/standin_main.hpp"
#include "service/service_http.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:7201", "address to serve on");
ABSL_FLAG(std::uint32_t, capacity, 32, "calls at once at full speed");
ABSL_FLAG(std::int64_t, call_ms, 5, "time of a call at full speed");
ABSL_FLAG(std::string, faults, "{}", "faults from the start, as for /admin");

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage("A stand-in of a plain service.");
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context io(1);
    standins::service_http service(standins::call_capacity(
        absl::GetFlag(FLAGS_capacity),
        std::chrono::milliseconds(absl::GetFlag(FLAGS_call_ms))));
    service.administer(standins::json_body(absl::GetFlag(FLAGS_faults)));
    return standins::serve_standin(
        io, absl::GetFlag(FLAGS_listen),
        [&](camphorpoint::http_exchange& exchange) {
            return service.answer(exchange);
        });
}
