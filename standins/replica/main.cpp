#include "common/standin_main.hpp"
#include "replica/replica_engine.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:7020", "address to serve on");
ABSL_FLAG(std::string, id, "r1", "names the replica");
ABSL_FLAG(std::string, model, "", "base model; empty for a plain service");
ABSL_FLAG(unsigned, slots, 8, "places for adapters");

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage("A stand-in of a replica.");
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context io(1);
    standins::replica_engine replica(
        absl::GetFlag(FLAGS_id), absl::GetFlag(FLAGS_model),
        absl::GetFlag(FLAGS_slots));
    return standins::serve_standin(
        io, absl::GetFlag(FLAGS_listen),
        [&](camphorpoint::http_exchange& exchange) {
            return replica.answer(exchange);
        });
}
