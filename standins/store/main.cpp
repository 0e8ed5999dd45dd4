#include "common/standin_main.hpp"
#include "store/store_http.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:7003", "address to serve on");
ABSL_FLAG(double, per_second, 5, "fetches a second; more wait");
ABSL_FLAG(std::uint32_t, full_speed, 2, "fetches at once at full speed");
ABSL_FLAG(std::int64_t, fetch_ms, 300, "time of a fetch at full speed");

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage("A stand-in of the weight store.");
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context io(1);
    standins::fetch_settings settings;
    settings.per_second = absl::GetFlag(FLAGS_per_second);
    settings.full_speed = absl::GetFlag(FLAGS_full_speed);
    settings.time = std::chrono::milliseconds(absl::GetFlag(FLAGS_fetch_ms));
    standins::store_http store(settings);
    return standins::serve_standin(
        io, absl::GetFlag(FLAGS_listen),
        [&](camphorpoint::http_exchange& exchange) {
            return store.answer(exchange);
        });
}
