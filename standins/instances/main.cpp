#include "common/standin_main.hpp"
#include "instances/instances_http.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:7002", "address to serve on");
ABSL_FLAG(std::int64_t, lag_ms, 0, "the list is answered as it was then");

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage("A stand-in of the list of instances.");
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context io(1);
    standins::instances_http list(
        std::chrono::milliseconds(absl::GetFlag(FLAGS_lag_ms)));
    return standins::serve_standin(
        io, absl::GetFlag(FLAGS_listen),
        [&](camphorpoint::http_exchange& exchange) {
            return list.answer(exchange);
        });
}
