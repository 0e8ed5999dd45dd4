#include "common/standin_main.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/json.hpp>

#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:7002", "address to serve on");

namespace standins {

namespace asio = boost::asio;

/// The list of instances: GET reads it, PUT replaces it.
class instance_list_standin {
public:
    asio::awaitable<void> answer(camphorpoint::http_exchange& exchange) {
        camphorpoint::http_request const& request = exchange.request();
        if (camphorpoint::path_of(request.target) != "/instances") {
            co_await exchange.respond(json_response(404, "{}"));
            co_return;
        }
        if (request.method == "PUT") {
            boost::json::error_code error;
            boost::json::parse(request.body, error);
            if (error) {
                co_await exchange.respond(json_response(400, "{}"));
                co_return;
            }
            list_ = request.body;
        }
        co_await exchange.respond(json_response(200, list_));
    }

private:
    std::string list_ = "{\"instances\":[]}";
};

} // namespace standins

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context io(1);
    standins::instance_list_standin list;
    return standins::serve_standin(
        io, absl::GetFlag(FLAGS_listen),
        [&](camphorpoint::http_exchange& exchange) {
            return list.answer(exchange);
        });
}
