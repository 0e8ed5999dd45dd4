#include "net.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <poll.h>
#include <random>
#include <thread>
#include <unistd.h>

namespace stage {

namespace {

sockaddr_in address_of(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool bind_to(int handle, int port) {
    sockaddr_in const address = address_of(port);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    auto const* const raw = reinterpret_cast<sockaddr const*>(&address);
    return ::bind(handle, raw, sizeof address) == 0;
}

bool is_free(int port) {
    int const stream = ::socket(AF_INET, SOCK_STREAM, 0);
    int const datagram = ::socket(AF_INET, SOCK_DGRAM, 0);
    bool const both = bind_to(stream, port) && bind_to(datagram, port);
    ::close(stream);
    ::close(datagram);
    return both;
}

std::string lowercase(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](char each) {
        return static_cast<char>(
            std::tolower(static_cast<unsigned char>(each)));
    });
    return text;
}

std::string trimmed(std::string const& text) {
    std::size_t const from = text.find_first_not_of(" \t\r");
    if (from == std::string::npos) {
        return "";
    }
    return text.substr(from, text.find_last_not_of(" \t\r") - from + 1);
}

void add_number(std::string& to, std::uint64_t value, int bytes) {
    constexpr int bits = 8;
    for (int each = bytes - 1; each >= 0; --each) {
        to.push_back(static_cast<char>(value >> (bits * each)));
    }
}

/// @returns where the value of a name begins, npos when it is not there
std::size_t value_place(std::string const& json, char const* name) {
    std::string const key = "\"" + std::string(name) + "\":";
    std::size_t const place = json.find(key);
    return place == std::string::npos ? place : place + key.size();
}

} // namespace

std::int64_t now_ms() {
    using std::chrono::milliseconds;
    using std::chrono::steady_clock;
    return std::chrono::duration_cast<milliseconds>(
               steady_clock::now().time_since_epoch())
        .count();
}

void sleep_ms(std::int64_t time) {
    if (time > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(time));
    }
}

connection::~connection() {
    if (handle_ >= 0) {
        ::close(handle_);
    }
}

int connection::open(int port) {
    int const handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in const address = address_of(port);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    auto const* const raw = reinterpret_cast<sockaddr const*>(&address);
    if (::connect(handle, raw, sizeof address) != 0) {
        ::close(handle);
        return -1;
    }
    int const on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return handle;
}

bool connection::send(std::string const& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        ssize_t const sent = ::send(
            handle_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

bool connection::fill() {
    constexpr std::size_t step = 16384;
    std::string piece(step, '\0');
    ssize_t const got = ::recv(handle_, piece.data(), piece.size(), 0);
    if (got <= 0) {
        return false;
    }
    buffer_.append(piece, 0, static_cast<std::size_t>(got));
    return true;
}

bool connection::read_line(std::string& line) {
    std::size_t end = buffer_.find("\r\n");
    while (end == std::string::npos) {
        if (!fill()) {
            return false;
        }
        end = buffer_.find("\r\n");
    }
    line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
}

bool connection::read_head(message& into) {
    into = {};
    std::string line;
    if (!read_line(line)) {
        return false;
    }
    std::size_t const space = line.find(' ');
    std::size_t const second = line.find(' ', space + 1);
    into.first = line.substr(0, space);
    into.target = line.substr(space + 1, second - space - 1);
    while (read_line(line)) {
        if (line.empty()) {
            return true;
        }
        std::size_t const colon = line.find(':');
        into.head[lowercase(line.substr(0, colon))] =
            trimmed(line.substr(colon + 1));
    }
    return false;
}

bool connection::read_body(std::size_t length, std::string& body) {
    while (buffer_.size() < length) {
        if (!fill()) {
            return false;
        }
    }
    body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
}

bool connection::read_request(message& into) {
    if (!read_head(into)) {
        return false;
    }
    std::string const length = into.head["content-length"];
    return length.empty() ||
           read_body(std::strtoul(length.c_str(), nullptr, 10), into.body);
}

bool connection::read_chunk(std::string& piece, bool& whole) {
    std::string line;
    constexpr int hexadecimal = 16;
    whole = false;
    if (!read_line(line)) {
        return false;
    }
    std::size_t const size = std::strtoul(line.c_str(), nullptr, hexadecimal);
    std::string end;
    if (!read_body(size, piece) || !read_line(end)) {
        return false;
    }
    whole = size == 0;
    return !whole;
}

bool connection::left() const {
    pollfd state{handle_, POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void connection::limit_reads(std::int64_t time) {
    constexpr std::int64_t second = 1000;
    timeval limit{};
    limit.tv_sec = time / second;
    limit.tv_usec = (time % second) * second;
    ::setsockopt(handle_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

void connection::end() {
    ::shutdown(handle_, SHUT_WR);
}

void serve(int port, std::function<void(connection&, message&)> const& answer) {
    int const listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    constexpr int waiting = 512;
    if (!bind_to(listener, port) || ::listen(listener, waiting) != 0) {
        std::_Exit(2);
    }
    std::thread([listener, answer] {
        while (true) {
            int const handle = ::accept(listener, nullptr, nullptr);
            if (handle < 0) {
                continue;
            }
            int const no_delay = 1;
            ::setsockopt(
                handle, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
            std::thread([handle, answer] {
                connection link(handle);
                message request;
                while (link.read_request(request)) {
                    answer(link, request);
                }
            }).detach();
        }
    }).detach();
}

int call(
    int port, std::string const& method, std::string const& target,
    std::string const& body, std::string& answer) {
    connection link(connection::open(port));
    link.limit_reads(3000);
    std::string const text =
        method + " " + target + " HTTP/1.1\r\nHost: stage\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    message got;
    if (!link.send(text) || !link.read_head(got)) {
        return 0;
    }
    std::string const length = got.head["content-length"];
    link.read_body(std::strtoul(length.c_str(), nullptr, 10), answer);
    return std::atoi(got.target.c_str());
}

std::string
plain_answer(int status, std::string const& more, std::string const& body) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::int64_t
number_in(std::string const& json, char const* name, std::int64_t fallback) {
    std::size_t const place = value_place(json, name);
    return place == std::string::npos
               ? fallback
               : std::strtoll(json.c_str() + place, nullptr, 10);
}

std::string text_in(std::string const& json, char const* name) {
    std::size_t const place = value_place(json, name);
    if (place == std::string::npos) {
        return "";
    }
    std::size_t const begin = json.find('"', place) + 1;
    return json.substr(begin, json.find('"', begin) - begin);
}

void record::open(std::string const& file) {
    constexpr int mode = 0644;
    file_ =
        ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
}

void record::line(std::string const& text) {
    std::lock_guard const guard(mutex_);
    std::string const whole =
        std::to_string(since_start()) + " ms: " + text + "\n";
    [[maybe_unused]] auto const done =
        ::write(file_, whole.data(), whole.size());
}

std::vector<int> free_ports(std::size_t count) {
    // Below the ports that the kernel gives to outgoing connections.
    constexpr int lowest = 21000;
    constexpr int highest = 31000;
    std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> draw(lowest, highest);
    std::vector<int> ports;
    while (ports.size() < count) {
        int const port = draw(random);
        bool const known =
            std::find(ports.begin(), ports.end(), port) != ports.end();
        if (!known && is_free(port)) {
            ports.push_back(port);
        }
    }
    return ports;
}

std::string keyed_record(std::string const& key, std::string const& value) {
    std::string bytes;
    constexpr int length_bytes = 4;
    add_number(bytes, 1 + key.size() + value.size(), length_bytes);
    add_number(bytes, key.size(), 1);
    return bytes + key + value;
}

} // namespace stage
