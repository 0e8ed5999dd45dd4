#include "common/standin_main.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>
#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:7001", "address to serve on");

namespace standins {

namespace asio = boost::asio;
namespace json = boost::json;

/// An append-only log with offsets, kept in memory.
class log_standin {
public:
    asio::awaitable<void> answer(camphorpoint::http_exchange& exchange) {
        camphorpoint::http_request const& request = exchange.request();
        auto const path = camphorpoint::path_of(request.target);
        if (request.method == "POST" && path == "/append") {
            co_await exchange.respond(json_response(200, append(request.body)));
        } else if (request.method == "GET" && path == "/records") {
            co_await exchange.respond(json_response(200, read(request.target)));
        } else {
            co_await exchange.respond(json_response(404, "{}"));
        }
    }

private:
    std::string append(std::string const& data) {
        json::object answer{{"offset", records_.size()}};
        records_.push_back(data);
        return json::serialize(answer);
    }

    std::string read(std::string const& target) const {
        auto const text = camphorpoint::query_value(target, "from");
        std::size_t from = 0;
        std::from_chars(text.data(), text.data() + text.size(), from);
        constexpr std::size_t most = 256;
        std::size_t const end =
            std::min(records_.size(), from + std::min(most, records_.size()));
        json::array found;
        for (std::size_t at = from; at < end; ++at) {
            found.push_back(
                json::object{{"offset", at}, {"data", records_[at]}});
        }
        json::object answer{
            {"first", 0}, {"head", records_.size()}, {"records", found}};
        return json::serialize(answer);
    }

    std::vector<std::string> records_;
};

} // namespace standins

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context io(1);
    standins::log_standin log;
    return standins::serve_standin(
        io, absl::GetFlag(FLAGS_listen),
        [&](camphorpoint::http_exchange& exchange) {
            return log.answer(exchange);
        });
}
