#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// Blocking HTTP/1.1 over loopback for the stand-ins of the second review: a
/// thread for each connection, no dependency.
namespace stage {

/// @returns milliseconds of the monotonic clock
std::int64_t now_ms();
void sleep_ms(std::int64_t time);

/// Names of fields are kept in lowercase.
using fields = std::map<std::string, std::string>;

struct message {
    /// Method and target, or the status, of the first line.
    std::string first;
    std::string target;
    fields head;
    std::string body;
};

/// One TCP connection.
class connection {
public:
    explicit connection(int handle)
        : handle_(handle) {}
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /// Connects to a port of 127.0.0.1.
    /// @returns the handle, -1 when it can't
    static int open(int port);

    /// @returns false when the peer has closed or reset
    bool send(std::string const& bytes);
    /// Reads the head of a message, and the body of a request.
    /// @returns false when there is none
    bool read_request(message& into);
    bool read_head(message& into);
    /// Reads the next piece of a chunked body.
    /// @returns false at its end and when it is cut; `whole` tells which
    bool read_chunk(std::string& piece, bool& whole);
    /// Reads a body whose length is known.
    bool read_body(std::size_t length, std::string& body);
    /// @returns true when the peer has closed or reset the connection
    bool left() const;
    void limit_reads(std::int64_t time);
    /// Closes, as a server does behind an answer without a length.
    void end();

private:
    bool fill();
    bool read_line(std::string& line);

    int handle_;
    std::string buffer_;
};

/// Serves a port of 127.0.0.1 until the process ends.
void serve(int port, std::function<void(connection&, message&)> const& answer);

/// A whole exchange with an answer of known length.
/// @returns the status, 0 when there was no answer
int call(
    int port, std::string const& method, std::string const& target,
    std::string const& body, std::string& answer);

/// @returns an answer with a length
std::string
plain_answer(int status, std::string const& more, std::string const& body);

/// @returns the number behind `"name":` in a JSON text, or the fallback
std::int64_t
number_in(std::string const& json, char const* name, std::int64_t fallback);
/// @returns the text behind `"name":` in a JSON text
std::string text_in(std::string const& json, char const* name);

/// A file to which lines are added, each with the time since the start.
class record {
public:
    void open(std::string const& file);
    void line(std::string const& text);
    std::int64_t since_start() const { return now_ms() - start_; }

private:
    std::mutex mutex_;
    int file_ = -1;
    std::int64_t start_ = now_ms();
};

/// @returns ports of 127.0.0.1 that are free for TCP and UDP
std::vector<int> free_ports(std::size_t count);

/// @returns the record of a key as it is appended to the store
std::string keyed_record(std::string const& key, std::string const& value);

} // namespace stage
