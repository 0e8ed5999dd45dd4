#include "common/standin_main.hpp"
#include "metadata/metadata_http.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <fstream>
#include <iterator>
#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:7010", "address to serve on");
ABSL_FLAG(std::string, config, "", "file with the configuration (JSON)");
ABSL_FLAG(
    std::vector<std::string>, replicas, {},
    "files with the entries of replicas (JSON), each NAME=FILE");

namespace {

std::string content(std::string const& file) {
    std::ifstream stream(file);
    return {std::istreambuf_iterator<char>(stream), {}};
}

} // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage("A stand-in of the platform's store.");
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context io(1);
    standins::metadata_http metadata;
    metadata.store().put(
        "keyed.op", "config", content(absl::GetFlag(FLAGS_config)));
    for (std::string const& each : absl::GetFlag(FLAGS_replicas)) {
        std::size_t const equals = each.find('=');
        metadata.store().put(
            "keyed.servers", each.substr(0, equals),
            content(each.substr(equals + 1)));
    }
    return standins::serve_standin(
        io, absl::GetFlag(FLAGS_listen),
        [&](camphorpoint::http_exchange& exchange) {
            return metadata.answer(exchange);
        });
}
