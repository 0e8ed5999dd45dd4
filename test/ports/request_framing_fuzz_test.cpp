#include "Ports/http_server.hpp"
#include "Ports/request_reader.hpp"
#include "test/ports/loopback.hpp"
#include "test/ports/reference_request_reader.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using testing::loopback;
using testing::raw_server;
using testing::read_by_reference;
using testing::reference_end;
using testing::reference_reading;
using testing::reference_request;

namespace {

constexpr std::size_t head_limit = 16U << 10U;
constexpr std::uint64_t body_limit = 4'096;
/// Ends each line that the generator has left open, so that no reader waits in
/// front of a fault.
constexpr std::string_view last_bytes = "\r\n\r\n\r\n\r\n";

/// Makes the bytes of connections: requests whose framings are sound or odd,
/// with single bytes changed.
class connection_generator {
public:
    explicit connection_generator(std::uint32_t seed)
        : random_(seed) {}

    std::string connection() {
        std::string bytes;
        for (std::size_t left = 1 + below(3); left > 0; --left) {
            bytes += one_in(8) ? "\r\n" : "";
            bytes += request();
        }
        for (std::size_t left = below(3); left > 0; --left) {
            change(bytes);
        }
        return bytes.append(last_bytes);
    }
    std::size_t below(std::size_t limit) { return random_() % limit; }

private:
    bool one_in(std::size_t many) { return below(many) == 0; }
    template <std::size_t Size>
    std::string any(std::array<std::string_view, Size> const& from) {
        return std::string(from.at(below(Size)));
    }

    std::string request() {
        static constexpr std::array<std::string_view, 4> methods{
            "GET", "POST", "PUT", "M-SEARCH"};
        std::string text = fmt::format(
            "{} /{} HTTP/1.{}\r\n", any(methods), below(100),
            one_in(8) ? 0 : 1);
        if (one_in(2)) {
            return text + sound_rest();
        }
        std::string const body = chunks();
        for (std::size_t left = below(4); left > 0; --left) {
            text += field(body.size());
        }
        return text + "\r\n" + body;
    }
    std::string sound_rest() {
        std::string const data(below(40), 'y');
        switch (below(3)) {
        case 0:
            return "X-Other: a\r\n\r\n";
        case 1:
            return fmt::format(
                "Content-Length: {}\r\n\r\n{}", data.size(), data);
        default:
            return fmt::format(
                "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}y\r\n0\r\n"
                "\r\n",
                data.size() + 1, data);
        }
    }
    std::string field(std::size_t body_size) {
        static constexpr std::array<std::string_view, 5> names{
            "Content-Length", "content-length", "Transfer-Encoding",
            "Connection", "X-Other"};
        static constexpr std::array<std::string_view, 5> colons{
            ":", ": ", ":\t ", ": ", " :"};
        static constexpr std::array<std::string_view, 16> values{
            "chunked",    "Chunked",
            "chunked",    "chunked, chunked",
            "gzip",       "identity",
            "close",      "keep-alive, close",
            "Keep-Alive", "0",
            "00",         "5",
            "5, 5",       "\r\n chunked",
            "-1",         "99999999999999999999"};
        std::string const value =
            one_in(2) ? std::to_string(body_size) : any(values);
        std::string const end = one_in(30) ? "\n" : "\r\n";
        return any(names) + any(colons) + value + end;
    }
    std::string chunks() {
        static constexpr std::array<std::string_view, 8> odd{
            "1",
            "fffffffffffffffff",
            "10000000000000001",
            "-1",
            "1;a=b",
            "1 ;a",
            "1 ",
            ""};
        std::string text;
        for (std::size_t left = below(3); left > 0; --left) {
            std::string const data = one_in(3) ? "G / HTTP/1.1\r\n\r\n"
                                               : std::string(below(20), 'x');
            text += one_in(6) ? any(odd) : fmt::format("{:x}", data.size());
            text += "\r\n" + data + "\r\n";
        }
        text += one_in(10) ? "" : "0\r\n";
        text += one_in(10) ? "X-Trailer: a\r\n" : "";
        return one_in(4) ? "" : text + "\r\n";
    }
    void change(std::string& bytes) {
        static constexpr std::string_view letters(
            "\r\n\t :;,0a1f\x00\x7f\xff", 14);
        std::size_t const place = below(bytes.size());
        char const letter = letters.at(below(letters.size()));
        switch (below(4)) {
        case 0:
            bytes.erase(place, 1 + below(2));
            break;
        case 1:
            bytes.insert(place, 1, letter);
            break;
        case 2:
            bytes.at(place) = letter;
            break;
        default:
            bytes.insert(place, bytes.substr(below(bytes.size()), below(30)));
        }
        bytes += bytes.empty() ? "x" : "";
    }

    std::mt19937 random_;
};

/// Reads bytes that arrive in pieces, as the server does.
reference_reading
read_in_pieces(std::string const& bytes, connection_generator& random) {
    using progress = request_reader::progress;
    reference_reading reading;
    request_reader reader(head_limit, body_limit);
    std::size_t taken = 0;
    std::size_t arrived = 0;
    while (true) {
        std::size_t const more =
            reader.read(std::string_view(bytes).substr(taken, arrived - taken));
        taken += more;
        if (reader.state() == progress::refused) {
            reading.end = reference_end::refused;
            return reading;
        }
        if (reader.state() == progress::whole) {
            bool const open = reader.keep_alive();
            http_request const request = reader.release();
            reading.requests.push_back(
                {request.method, request.target, request.body.text(), taken});
            if (!open) {
                reading.end = reference_end::last;
                return reading;
            }
            reader = request_reader(head_limit, body_limit);
        } else if (more == 0 && arrived == bytes.size()) {
            return reading;
        } else if (more == 0) {
            arrived = std::min(bytes.size(), arrived + 1 + random.below(40));
        }
    }
}

/// @returns true when Beast's parser, which is less strict, reads the request
///          in another way
bool read_otherwise_by_beast(
    std::string_view bytes, reference_request const& as) {
    bytes.remove_prefix(size_of_empty_lines(bytes));
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    std::size_t taken = 0;
    while (!error && !parser.is_done()) {
        std::string_view const rest = bytes.substr(taken);
        taken += parser.put(asio::buffer(rest.data(), rest.size()), error);
    }
    auto const& got = parser.get();
    return !error &&
           (taken != bytes.size() || got.target() != as.target ||
            got.method_string() != as.method || got.body() != as.body);
}

/// A server that keeps what it has read of a connection.
struct fuzzed_server {
    fuzzed_server()
        : server(loop.executor(), limits(), [this](http_exchange& exchange) {
            return answer(exchange);
        }) {
        REQUIRE(server.listen(testing::local(0)).empty());
    }

    static http_limits limits() {
        http_limits limits;
        limits.header_bytes = head_limit;
        limits.body_bytes = body_limit;
        return limits;
    }

    asio::awaitable<void> answer(http_exchange& exchange) {
        http_request const& request = exchange.request();
        read.push_back(
            {request.method, request.target, request.body.text(), 0});
        co_await exchange.respond(http_response());
    }

    /// Sends bytes, and no more. @returns all answers
    std::string talk(std::string const& bytes) {
        read.clear();
        std::string answers;
        loop.run([&]() -> asio::awaitable<void> {
            raw_server::socket_type socket =
                co_await testing::connect_to(testing::local(server.port()));
            co_await testing::write_text(socket, bytes);
            boost::system::error_code ignored;
            socket.shutdown(raw_server::socket_type::shutdown_send, ignored);
            answers = co_await testing::read_until(socket, "");
        });
        return answers;
    }

    loopback loop;
    std::vector<reference_request> read;
    http_server server;
};

bool same(reference_reading const& left, reference_reading const& right) {
    return left.requests == right.requests && left.end == right.end;
}

} // namespace

// Guards against bytes that the server and another reader take for different
// requests: one of them would run what no caller has sent.
TEST_CASE("the server and a second reader read the same requests") {
    constexpr std::uint32_t seed = 72;
    constexpr int cases = 500'000;
    connection_generator generator(seed);
    std::array<int, 3> ends{};
    std::size_t requests = 0;
    for (int each = 0; each < cases; ++each) {
        std::string const bytes = generator.connection();
        reference_reading const wanted = read_by_reference(bytes, body_limit);
        reference_reading const read = read_in_pieces(bytes, generator);
        std::size_t begin = 0;
        bool otherwise = false;
        for (reference_request const& one : read.requests) {
            std::string_view const whole =
                std::string_view(bytes).substr(begin, one.end - begin);
            otherwise = otherwise || read_otherwise_by_beast(whole, one);
            begin = one.end;
        }
        requests += read.requests.size();
        ++ends.at(static_cast<std::size_t>(wanted.end));
        if (!same(read, wanted) || otherwise) {
            CAPTURE(each);
            CAPTURE(bytes);
            CHECK(same(read, wanted));
            CHECK_FALSE(otherwise);
            break;
        }
    }
    MESSAGE(requests, " requests");
    // Enough connections of each kind, or the test shows nothing.
    for (int const count : ends) {
        CHECK(count > cases / 50);
    }
    CHECK(requests > cases / 2);
}

TEST_CASE("a connection gives its handler what a second reader reads") {
    constexpr std::uint32_t seed = 73;
    constexpr int cases = 2'000;
    connection_generator generator(seed);
    fuzzed_server world;
    for (int each = 0; each < cases; ++each) {
        std::string const bytes = generator.connection();
        reference_reading wanted = read_by_reference(bytes, body_limit);
        for (reference_request& one : wanted.requests) {
            one.end = 0;
        }
        std::string const answers = world.talk(bytes);
        bool const refused =
            answers.find("X-Outcome: not-run") != std::string::npos;
        if (world.read != wanted.requests ||
            refused != (wanted.end == reference_end::refused)) {
            CAPTURE(each);
            CAPTURE(bytes);
            CAPTURE(answers);
            CHECK(world.read == wanted.requests);
            CHECK(refused == (wanted.end == reference_end::refused));
            break;
        }
    }
}

} // namespace camphorpoint
