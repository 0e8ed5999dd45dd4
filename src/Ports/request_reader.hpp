#pragma once

#include "Ports/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace camphorpoint {

/// @returns the size of the empty lines in front of a request, which have no
///          meaning
std::size_t size_of_empty_lines(std::string_view text) noexcept;

/// Why the bytes of a request are refused.
enum class request_refusal : std::uint8_t {
    none,
    /// They are no HTTP/1.1 request, or their framing is invalid or ambiguous.
    malformed,
    /// The body is chunked, and coded in a further way.
    unsupported_coding,
    head_too_large,
    body_too_large,
    /// There is no memory for the body.
    no_memory
};

/// Reads one request from the bytes of a connection. It alone decides where a
/// request ends. What RFC 9112, section 6, lets a recipient repair is refused:
/// a proxy that repairs it otherwise would see other requests in these bytes.
class request_reader {
public:
    /// How far the request has been read.
    enum class progress : std::uint8_t { head, body, whole, refused };

    /// Asked before memory is allocated for a body, with what the body holds in
    /// all from then on, in bytes. Returns false when there is not as much.
    using memory_request = std::function<bool(std::size_t bytes)>;

    /// @param head_limit  longest head in bytes, with its empty line
    /// @param body_limit  longest body in bytes
    /// @param take_memory empty where memory is not bounded
    request_reader(
        std::size_t head_limit, std::uint64_t body_limit,
        memory_request take_memory = {})
        : head_limit_(head_limit)
        , body_limit_(body_limit)
        , take_memory_(std::move(take_memory)) {}

    /// Takes bytes off the front of what has arrived. A head that has ended
    /// ends the call, so that its caller can look at the request.
    /// @param arrived all bytes that no earlier call has taken
    /// @returns how many bytes were taken; 0 when more have to arrive
    std::size_t read(std::string_view arrived);

    /// @returns how far the request has been read
    progress state() const noexcept { return state_; }
    /// @returns why it is refused
    request_refusal refusal() const noexcept { return refusal_; }
    /// @returns what has been read so far, without the body; of a head that is
    ///          refused, the fields in front of the fault
    http_request const& request() const noexcept { return request_; }
    /// @param memory what counts the body against a budget
    /// @returns the request, which must be whole
    http_request release(std::shared_ptr<void const> memory = nullptr);
    /// @returns the length of the body as the head names it; 0 for a chunked
    ///          one
    std::uint64_t named_length() const noexcept {
        return chunked_ ? 0 : left_ + body_.size();
    }
    /// Releases the memory of the body and refuses the request, for lack of
    /// memory.
    void give_up_body();
    /// @returns true when another request may follow on the connection
    bool keep_alive() const noexcept { return keep_alive_; }

private:
    /// The part of a chunked body that comes next.
    enum class chunk_part : std::uint8_t { size, data, data_end, body_end };

    std::size_t read_head(std::string_view arrived);
    std::size_t read_body(std::string_view arrived);
    std::size_t read_chunk(std::string_view arrived);
    std::size_t read_chunk_size(std::string_view arrived);
    std::size_t read_line_end(std::string_view arrived);
    std::size_t take_data(std::string_view arrived);
    bool allocate(std::size_t size);
    bool parse_head(std::string_view head);
    bool parse_request_line(std::string_view line);
    bool parse_field(std::string_view line);
    bool parse_chunk_size(std::string_view line);
    void decide_framing();
    void decide_keep_alive();
    std::size_t refuse(request_refusal why);

    std::size_t head_limit_;
    std::uint64_t body_limit_;
    memory_request take_memory_;
    progress state_ = progress::head;
    request_refusal refusal_ = request_refusal::none;
    http_request request_;
    std::string body_;
    bool http_1_1_ = false;
    bool keep_alive_ = false;
    bool chunked_ = false;
    chunk_part part_ = chunk_part::size;
    /// Bytes of the head that have been searched for its end.
    std::size_t searched_ = 0;
    /// Where the line that ends last began.
    std::size_t line_began_ = 0;
    /// Bytes to come of the body, or of a chunk.
    std::uint64_t left_ = 0;
    /// Bytes of all chunk extensions.
    std::size_t extensions_ = 0;
};

} // namespace camphorpoint
