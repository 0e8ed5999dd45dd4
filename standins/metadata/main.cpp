#include "common/standin_main.hpp"
#include "metadata/metadata_http.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:7010", "address to serve on");
ABSL_FLAG(std::string, config, "", "file with the configuration (JSON)");
ABSL_FLAG(
    std::vector<std::string>, replicas, {},
    "files with the entries of replicas (JSON), each NAME=FILE");

ABSL_FLAG(
    std::vector<std::string>, views, {},
    "further addresses to serve on, each ADDRESS=SHIFT: the entries of "
    "replicas "
    "that are read there name ports that are higher by SHIFT");

namespace {

/// A further address of the store, at which replicas have other ports.
class shifted_view {
public:
    shifted_view(
        boost::asio::io_context& io, standins::metadata_http& all, int shift)
        : shift_(shift)
        , server_(
              io.get_executor(), camphorpoint::http_limits(),
              [this, &all](camphorpoint::http_exchange& exchange) {
                  bool const of_replicas =
                      exchange.request().target.find("keyed.servers") !=
                      std::string::npos;
                  return of_replicas ? replicas_.answer(exchange)
                                     : all.answer(exchange);
              }) {}

    /// @returns why it can't listen; empty when it does
    std::string listen(std::string const& address) {
        return server_.listen(camphorpoint::parse_address(address));
    }
    /// @param entry one that names no address is put as it is, an empty one
    ///              removes the replica
    void put(std::string const& replica, std::string const& entry) {
        replicas_.store().put("keyed.servers", replica, shifted(entry));
    }

private:
    std::string shifted(std::string const& entry) const {
        boost::system::error_code error;
        boost::json::value parsed = boost::json::parse(entry, error);
        boost::json::object* const text = parsed.if_object();
        if (error || text == nullptr || !text->contains("address") ||
            !text->at("address").is_string()) {
            return entry;
        }
        std::string const named(text->at("address").as_string());
        auto const address = camphorpoint::parse_address(named);
        constexpr int highest_port = 65'535;
        if (address.port == 0 || address.port + shift_ > highest_port) {
            return entry;
        }
        (*text)["address"] =
            address.host + ":" + std::to_string(address.port + shift_);
        return boost::json::serialize(parsed);
    }

    int shift_;
    standins::metadata_http replicas_;
    camphorpoint::http_server server_;
};

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
    std::vector<std::unique_ptr<shifted_view>> views;
    for (std::string const& each : absl::GetFlag(FLAGS_views)) {
        std::size_t const equals = each.find('=');
        int const shift = std::atoi(each.c_str() + equals + 1);
        views.push_back(std::make_unique<shifted_view>(io, metadata, shift));
        std::string const problem =
            views.back()->listen(each.substr(0, equals));
        if (!problem.empty()) {
            fmt::print(stderr, "cannot listen on {}: {}\n", each, problem);
            return 1;
        }
    }
    for (std::string const& each : absl::GetFlag(FLAGS_replicas)) {
        std::size_t const equals = each.find('=');
        std::string const name = each.substr(0, equals);
        std::string const entry = content(each.substr(equals + 1));
        metadata.store().put("keyed.servers", name, entry);
        for (auto const& view : views) {
            view->put(name, entry);
        }
    }
    metadata.on_put = [&](std::string const& topic, std::string const& key,
                          std::string const& value) {
        for (auto const& view : views) {
            if (topic == "keyed.servers") {
                view->put(key, value);
            }
        }
    };
    return standins::serve_standin(
        io, absl::GetFlag(FLAGS_listen),
        [&](camphorpoint::http_exchange& exchange) {
            return metadata.answer(exchange);
        });
}
