#include "Ports/http_server.hpp"
#include "test/ports/loopback.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace camphorpoint {

namespace asio = boost::asio;
using testing::loopback;
using testing::raw_server;

namespace {

/// A request that a reader finds only in the body of another one, or behind one
/// whose framing is invalid.
const std::string inner = "POST /inner HTTP/1.1\r\nHost: h\r\n"
                          "Content-Length: 0\r\n\r\n";

/// A server that keeps what it has read.
struct recording_server {
    recording_server()
        : server(
              loop.executor(), http_limits(),
              [this](http_exchange& exchange) { return answer(exchange); }) {
        REQUIRE(server.listen(testing::local(0)).empty());
    }

    asio::awaitable<void> answer(http_exchange& exchange) {
        read.push_back(exchange.request());
        http_response response;
        response.body = "ok";
        co_await exchange.respond(std::move(response));
    }

    /// Sends bytes. @returns all that comes back until the connection ends
    std::string talk(std::string const& text) {
        std::string answer;
        loop.run([&]() -> asio::awaitable<void> {
            raw_server::socket_type socket =
                co_await testing::connect_to(testing::local(server.port()));
            co_await testing::write_text(socket, text);
            answer = co_await testing::read_until(socket, "");
        });
        return answer;
    }

    loopback loop;
    std::vector<http_request> read;
    http_server server;
};

struct framing_case {
    std::string what;
    /// The bytes from the request line on; `inner` follows them.
    std::string text;
    std::string status = "400";
};

std::string head(std::string const& fields) {
    return "POST /outer HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

std::string chunked(std::string const& body) {
    return head("Transfer-Encoding: chunked\r\n") + body;
}

/// Framings that RFC 9112, section 6, calls invalid or ambiguous, and lines
/// that another reader would end elsewhere.
std::vector<framing_case> invalid_framings() {
    std::string const length =
        "Content-Length: " + std::to_string(inner.size()) + "\r\n";
    return {
        {"a coding other than chunked", head("Transfer-Encoding: gzip\r\n")},
        {"identity", head("Transfer-Encoding: identity\r\n")},
        {"an unknown coding", head("Transfer-Encoding: x-own\r\n")},
        {"chunked is not last", head("Transfer-Encoding: chunked, gzip\r\n")},
        {"chunked is not last in several fields",
         head("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n")},
        {"a further coding under chunked",
         head("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n", "501"},
        {"a further coding in a field of its own",
         head("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n") +
             "0\r\n\r\n",
         "501"},
        {"chunked twice",
         head("Transfer-Encoding: chunked, chunked\r\n") + "0\r\n\r\n"},
        {"chunked in two fields",
         head("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n") +
             "0\r\n\r\n"},
        {"chunked with a parameter",
         head("Transfer-Encoding: chunked;a=b\r\n") + "0\r\n\r\n"},
        {"an empty coding", head("Transfer-Encoding:\r\n")},
        {"chunked in HTTP/1.0",
         "POST /outer HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\n\r\n"},
        {"a length and chunked",
         head(length + "Transfer-Encoding: chunked\r\n") + "0\r\n\r\n"},
        {"chunked and a length",
         head("Transfer-Encoding: chunked\r\nContent-Length: 0\r\n") +
             "0\r\n\r\n"},
        {"a length and an unknown coding",
         head("Content-Length: 0\r\nTransfer-Encoding: x-own\r\n")},
        {"lengths that differ", head("Content-Length: 0\r\n" + length)},
        {"a length twice", head("Content-Length: 0\r\nContent-Length: 0\r\n")},
        {"a list of lengths", head("Content-Length: 0, 0\r\n")},
        {"a list of lengths that differ", head("Content-Length: 0, 5\r\n")},
        {"a length that is no number", head("Content-Length: x\r\n")},
        {"a negative length", head("Content-Length: -1\r\n")},
        {"a length with a sign", head("Content-Length: +0\r\n")},
        {"a hexadecimal length", head("Content-Length: 0x0\r\n")},
        {"an empty length", head("Content-Length:\r\n")},
        {"a length that overflows",
         head("Content-Length: 18446744073709551616\r\n")},
        {"a folded field", head("X-A: b\r\n c\r\n")},
        {"a folded coding",
         head("Transfer-Encoding:\r\n chunked\r\n") + "0\r\n\r\n"},
        {"a fold in front of the fields",
         "POST /outer HTTP/1.1\r\n X-A: b\r\nContent-Length: 0\r\n\r\n"},
        {"a blank in front of the colon", head("Content-Length : 0\r\n")},
        {"a tab in front of the colon",
         head("Transfer-Encoding\t: chunked\r\n") + "0\r\n\r\n"},
        {"no colon", head("Content-Length\r\n")},
        {"no name", head(": 0\r\n")},
        {"a bare LF behind a field", head("X-A: b\nContent-Length: 0\r\n")},
        {"a bare LF behind the request line",
         "POST /outer HTTP/1.1\nHost: h\r\n\r\n"},
        {"a bare LF at the end of the head",
         "POST /outer HTTP/1.1\r\nHost: h\r\n\n"},
        {"a bare CR in a value", head("X-A: b\rContent-Length: 0\r\n")},
        {"a bare CR in front of a line end", head("X-A: b\r\r\n")},
        {"a zero byte in a value",
         head(std::string("X-A: b") + '\0' + "c\r\n")},
        {"an unknown version", "POST /outer HTTP/2.0\r\nHost: h\r\n\r\n"},
        {"blanks within the request line",
         "POST  /outer HTTP/1.1\r\nHost: h\r\n\r\n"},
        {"a chunk size that overflows", chunked("10000000000000000\r\n")},
        {"a chunk size that overflows to the size of the data",
         chunked("10000000000000001\r\nx\r\n0\r\n\r\n")},
        {"a chunk size that is no number", chunked("x\r\n")},
        {"a chunk size with a prefix", chunked("0x1\r\nx\r\n0\r\n\r\n")},
        {"a negative chunk size", chunked("-1\r\n")},
        {"an empty chunk size", chunked("\r\n")},
        {"a blank behind a chunk size", chunked("1 \r\nx\r\n0\r\n\r\n")},
        {"a bare LF behind a chunk size", chunked("1\nx\r\n0\r\n\r\n")},
        {"a bare LF in a chunk extension", chunked("1;a\nx\r\n0\r\n\r\n")},
        {"a bare CR in a chunk extension", chunked("1;a\rb\r\nx\r\n0\r\n\r\n")},
        {"a bare LF behind a chunk", chunked("1\r\nx\n0\r\n\r\n")},
        {"a chunk longer than its size", chunked("1\r\nxy\r\n0\r\n\r\n")},
        {"a trailer", chunked("0\r\nX-Model: other\r\n\r\n")},
        {"a trailer with a length", chunked("0\r\nContent-Length: 5\r\n\r\n")},
        {"a bare LF behind the last chunk", chunked("0\n\r\n")},
        {"a bare LF at the end of the body", chunked("0\r\n\n")},
    };
}

std::size_t count(std::string const& text, std::string const& part) {
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

} // namespace

// Guards against request smuggling: a server that ends a request elsewhere than
// the reader in front of it runs a part of its body as a request.
TEST_CASE("a request with an ambiguous framing ends its connection") {
    for (framing_case const& each : invalid_framings()) {
        CAPTURE(each.what);
        recording_server world;
        std::string const answer = world.talk(each.text + inner);
        CHECK(answer.starts_with("HTTP/1.1 " + each.status));
        CHECK(count(answer, "HTTP/1.1") == 1);
        CHECK(count(answer, "X-Outcome: not-run") == 1);
        CHECK(count(answer, "Connection: close") == 1);
        CHECK(world.read.empty());
    }
}

// Guards against a reader so strict that it refuses sound callers.
TEST_CASE("a request with a sound framing is read to its end") {
    std::vector<std::pair<std::string, std::string>> const cases{
        {head("Content-Length: 4\r\n") + "body", "body"},
        {head("content-length:\t004 \r\n") + "body", "body"},
        {head("X-A:b\r\n"), ""},
        {"\r\n" + head("Content-Length: 4\r\n") + "body", "body"},
        {head("Content-Length: 4\r\n") + "body\r\n", "body"},
        {"POST / HTTP/1.0\r\nConnection: keep-alive\r\n"
         "Content-Length: 4\r\n\r\nbody",
         "body"},
        {chunked("4\r\nbody\r\n0\r\n\r\n"), "body"},
        {head("transfer-encoding: Chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n",
         "body"},
        {chunked("1\r\nb\r\n003\r\nody\r\n000\r\n\r\n"), "body"},
        {chunked("4;a=b;c=\"d e\"\r\nbody\r\n0;e\r\n\r\n"), "body"},
        {chunked("4 ; a\r\nbody\r\n0\r\n\r\n"), "body"},
        {chunked("A\r\n0123456789\r\n0\r\n\r\n"), "0123456789"},
    };
    std::string const last = "GET /last HTTP/1.1\r\nConnection: Close\r\n\r\n";
    for (auto const& each : cases) {
        CAPTURE(each.first);
        recording_server world;
        std::string const answers = world.talk(each.first + last);
        CHECK(count(answers, "HTTP/1.1 200") == 2);
        REQUIRE(world.read.size() == 2);
        CHECK(world.read.front().body == each.second);
        CHECK(world.read.back().target == "/last");
    }
}

} // namespace camphorpoint
