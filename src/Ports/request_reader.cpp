#include "Ports/request_reader.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace camphorpoint {

using boost::beast::iequals;

namespace {

constexpr std::string_view line_end = "\r\n";

/// Characters of RFC 9110, section 5.6.2.
bool is_token(std::string_view text) noexcept {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    auto const allowed = [&](char each) {
        return (each >= '0' && each <= '9') || (each >= 'a' && each <= 'z') ||
               (each >= 'A' && each <= 'Z') ||
               marks.find(each) != std::string_view::npos;
    };
    return !text.empty() && std::ranges::all_of(text, allowed);
}

/// Visible ASCII, and bytes beyond ASCII.
bool is_visible(char letter) noexcept {
    auto const byte = static_cast<unsigned char>(letter);
    constexpr unsigned char space = 0x20;
    constexpr unsigned char rubout = 0x7f;
    return byte > space && byte != rubout;
}

bool is_blank(char letter) noexcept {
    return letter == ' ' || letter == '\t';
}

bool is_text(std::string_view text) noexcept {
    return std::ranges::all_of(
        text, [](char each) { return is_visible(each) || is_blank(each); });
}

std::string_view trim(std::string_view text) noexcept {
    while (!text.empty() && is_blank(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && is_blank(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

/// Calls back for each element of a comma-separated list.
template <class Visitor>
void visit_list(std::string_view list, Visitor visit) {
    while (true) {
        std::size_t const comma = list.find(',');
        visit(trim(list.substr(0, comma)));
        if (comma == std::string_view::npos) {
            return;
        }
        list.remove_prefix(comma + 1);
    }
}

/// @returns the number; nothing for anything but digits, and for one that is
///          too large
std::optional<std::uint64_t>
parse_number(std::string_view digits, int base) noexcept {
    std::uint64_t number = 0;
    char const* const end = digits.data() + digits.size();
    auto const [stop, error] =
        std::from_chars(digits.data(), end, number, base);
    if (digits.empty() || error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::size_t size_of_empty_lines(std::string_view text) noexcept {
    std::size_t size = 0;
    while (text.substr(size).starts_with(line_end)) {
        size += line_end.size();
    }
    return size;
}

std::size_t request_reader::refuse(request_refusal why) {
    state_ = progress::refused;
    refusal_ = why;
    return 0;
}

std::size_t request_reader::read(std::string_view arrived) {
    std::size_t taken = 0;
    if (state_ == progress::head) {
        return read_head(arrived);
    }
    while (state_ == progress::body) {
        std::size_t const more = read_body(arrived.substr(taken));
        if (more == 0) {
            break;
        }
        taken += more;
    }
    return taken;
}

std::size_t request_reader::read_head(std::string_view arrived) {
    while (true) {
        std::size_t const end = arrived.find('\n', searched_);
        bool const found = end != std::string_view::npos;
        searched_ = found ? end + 1 : arrived.size();
        if (searched_ > head_limit_ ||
            (!found && arrived.size() >= head_limit_)) {
            return refuse(request_refusal::head_too_large);
        }
        if (!found) {
            return 0;
        }
        if (end == line_began_ || arrived[end - 1] != '\r') {
            return refuse(request_refusal::malformed);
        }
        bool const empty = end - line_began_ == 1;
        if (empty && line_began_ == 0) {
            searched_ = 0;
            return line_end.size();
        }
        if (empty) {
            break;
        }
        line_began_ = searched_;
    }
    if (!parse_head(arrived.substr(0, line_began_))) {
        return refuse(request_refusal::malformed);
    }
    state_ = progress::body;
    decide_framing();
    decide_keep_alive();
    return state_ == progress::refused ? 0 : searched_;
}

/// @param head its lines, without the empty one
bool request_reader::parse_head(std::string_view head) {
    bool first = true;
    while (!head.empty()) {
        std::size_t const end = head.find(line_end);
        std::string_view const line = head.substr(0, end);
        if (first ? !parse_request_line(line) : !parse_field(line)) {
            return false;
        }
        first = false;
        head.remove_prefix(end + line_end.size());
    }
    return !first;
}

bool request_reader::parse_request_line(std::string_view line) {
    std::size_t const method_end = line.find(' ');
    std::size_t const target_end = line.rfind(' ');
    if (method_end == std::string_view::npos || method_end == target_end) {
        return false;
    }
    std::string_view const method = line.substr(0, method_end);
    std::string_view const target =
        line.substr(method_end + 1, target_end - method_end - 1);
    std::string_view const version = line.substr(target_end + 1);
    http_1_1_ = version == "HTTP/1.1";
    if (!is_token(method) || target.empty() ||
        !std::ranges::all_of(target, is_visible) ||
        (!http_1_1_ && version != "HTTP/1.0")) {
        return false;
    }
    request_.method = std::string(method);
    request_.target = std::string(target);
    return true;
}

// A line that continues the one before it begins with a blank, which no name
// contains; neither does one contain a blank in front of the colon.
bool request_reader::parse_field(std::string_view line) {
    std::size_t const colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
        return false;
    }
    std::string_view const value = trim(line.substr(colon + 1));
    if (!is_text(value)) {
        return false;
    }
    request_.fields.add(std::string(line.substr(0, colon)), std::string(value));
    return true;
}

void request_reader::decide_framing() {
    std::size_t lengths = 0;
    std::optional<std::uint64_t> length;
    std::size_t codings = 0;
    std::size_t chunkings = 0;
    bool chunked_last = false;
    for (http_field const& each : request_.fields.all()) {
        if (iequals(each.name, "Content-Length")) {
            ++lengths;
            length = parse_number(each.value, 10);
        } else if (iequals(each.name, "Transfer-Encoding")) {
            visit_list(each.value, [&](std::string_view coding) {
                ++codings;
                chunked_last = iequals(coding, "chunked");
                chunkings += chunked_last ? 1 : 0;
            });
        }
    }
    bool const coded = codings > 0;
    if (lengths > 1 || (lengths == 1 && !length) || (lengths == 1 && coded) ||
        (coded && (!http_1_1_ || !chunked_last || chunkings > 1))) {
        refuse(request_refusal::malformed);
    } else if (codings > 1) {
        refuse(request_refusal::unsupported_coding);
    } else if (length.value_or(0) > body_limit_) {
        refuse(request_refusal::body_too_large);
    } else {
        chunked_ = coded;
        left_ = length.value_or(0);
        state_ = chunked_ || left_ > 0 ? progress::body : progress::whole;
    }
}

void request_reader::decide_keep_alive() {
    bool close = false;
    bool keep = http_1_1_;
    for (http_field const& each : request_.fields.all()) {
        if (iequals(each.name, "Connection")) {
            visit_list(each.value, [&](std::string_view option) {
                close = close || iequals(option, "close");
                keep = keep || iequals(option, "keep-alive");
            });
        }
    }
    keep_alive_ = keep && !close;
}

std::size_t request_reader::read_body(std::string_view arrived) {
    if (chunked_) {
        return read_chunk(arrived);
    }
    std::size_t const taken = take_data(arrived);
    if (left_ == 0) {
        state_ = progress::whole;
    }
    return taken;
}

// Steps that double: a length that was only named takes no memory. Beyond the
// largest step the whole body is allocated at once, since both the old and the
// new memory are held while it grows.
bool request_reader::allocate(std::size_t size) {
    constexpr std::size_t first_step = std::size_t{4} << 10U;
    constexpr std::size_t largest_step = std::size_t{4} << 20U;
    // What a string has without an allocation counts for nothing.
    std::size_t const had = body_.empty() ? 0 : body_.capacity();
    if (size <= had) {
        return true;
    }
    std::uint64_t const most = chunked_ ? body_limit_ : body_.size() + left_;
    std::uint64_t const step =
        had >= largest_step
            ? most
            : std::max<std::uint64_t>({size, 2 * had, first_step});
    auto const next = static_cast<std::size_t>(std::min(most, step));
    if (take_memory_ && !take_memory_(had + next)) {
        return false;
    }
    std::string longer;
    longer.reserve(next);
    longer.append(body_);
    body_.swap(longer);
    // Memory that is given back is always granted.
    return !take_memory_ || had == 0 || take_memory_(next);
}

void request_reader::give_up_body() {
    std::string().swap(body_);
    refuse(request_refusal::no_memory);
}

http_request request_reader::release(std::shared_ptr<void const> memory) {
    request_.body = shared_body(std::move(body_), std::move(memory));
    return std::move(request_);
}

std::size_t request_reader::take_data(std::string_view arrived) {
    auto const taken = static_cast<std::size_t>(
        std::min<std::uint64_t>(left_, arrived.size()));
    if (!allocate(body_.size() + taken)) {
        give_up_body();
        return 0;
    }
    body_.append(arrived.substr(0, taken));
    left_ -= taken;
    return taken;
}

std::size_t request_reader::read_chunk(std::string_view arrived) {
    std::size_t taken = 0;
    switch (part_) {
    case chunk_part::size:
        return read_chunk_size(arrived);
    case chunk_part::data:
        taken = take_data(arrived);
        part_ = left_ == 0 ? chunk_part::data_end : chunk_part::data;
        return taken;
    case chunk_part::data_end:
        taken = read_line_end(arrived);
        part_ = taken > 0 ? chunk_part::size : part_;
        return taken;
    case chunk_part::body_end:
        // Fields of a trailer are none of the head, and this server has no
        // other use for them.
        taken = read_line_end(arrived);
        state_ = taken > 0 ? progress::whole : state_;
        return taken;
    }
    return 0;
}

std::size_t request_reader::read_line_end(std::string_view arrived) {
    std::string_view const begun = arrived.substr(0, line_end.size());
    if (!line_end.starts_with(begun)) {
        return refuse(request_refusal::malformed);
    }
    return begun == line_end ? line_end.size() : 0;
}

std::size_t request_reader::read_chunk_size(std::string_view arrived) {
    std::size_t const end = arrived.find('\n');
    if (std::min(end, arrived.size()) >= head_limit_) {
        return refuse(request_refusal::head_too_large);
    }
    if (end == std::string_view::npos) {
        return 0;
    }
    if (end == 0 || arrived[end - 1] != '\r' ||
        !parse_chunk_size(arrived.substr(0, end - 1))) {
        return refuse(request_refusal::malformed);
    }
    if (left_ > body_limit_ - body_.size()) {
        return refuse(request_refusal::body_too_large);
    }
    if (extensions_ > head_limit_) {
        return refuse(request_refusal::head_too_large);
    }
    part_ = left_ == 0 ? chunk_part::body_end : chunk_part::data;
    return end + 1;
}

/// @param line size and extensions, without the line end
bool request_reader::parse_chunk_size(std::string_view line) {
    constexpr int hexadecimal = 16;
    std::size_t const digits_end =
        std::min(line.find_first_of(" \t;"), line.size());
    auto const size = parse_number(line.substr(0, digits_end), hexadecimal);
    std::string_view const rest = line.substr(digits_end);
    std::string_view const extension = trim(rest);
    if (!size || !is_text(rest) ||
        (!rest.empty() && !extension.starts_with(';'))) {
        return false;
    }
    extensions_ += rest.size();
    left_ = *size;
    return true;
}

} // namespace camphorpoint
