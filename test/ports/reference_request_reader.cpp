#include "test/ports/reference_request_reader.hpp"

#include <algorithm>
#include <cctype>
#include <map>
#include <optional>

namespace camphorpoint::testing {

namespace {

struct refused {};
struct incomplete {};

bool is_token_letter(unsigned char letter) {
    return std::isalnum(letter) != 0 ||
           std::string_view("!#$%&'*+-.^_`|~")
                   .find(static_cast<char>(letter)) != std::string_view::npos;
}

bool is_field_letter(unsigned char letter) {
    return letter == '\t' || (letter >= 0x20 && letter != 0x7f);
}

std::string lower(std::string text) {
    std::ranges::transform(text, text.begin(), [](unsigned char each) {
        return static_cast<char>(std::tolower(each));
    });
    return text;
}

/// The bytes of a connection, and a place in them.
class scanner {
public:
    explicit scanner(std::string_view bytes)
        : bytes_(bytes) {}

    std::size_t place() const { return place_; }
    bool at_end() const { return place_ == bytes_.size(); }
    unsigned char peek() const {
        if (at_end()) {
            throw incomplete();
        }
        return static_cast<unsigned char>(bytes_[place_]);
    }
    unsigned char next() {
        unsigned char const letter = peek();
        ++place_;
        return letter;
    }
    bool skip(char letter) {
        bool const found = peek() == static_cast<unsigned char>(letter);
        place_ += found ? 1 : 0;
        return found;
    }
    void expect(std::string_view text) {
        for (char const each : text) {
            if (!skip(each)) {
                throw refused();
            }
        }
    }
    std::string take_while(bool (*allowed)(unsigned char)) {
        std::string taken;
        while (allowed(peek())) {
            taken += static_cast<char>(next());
        }
        return taken;
    }
    std::string take(std::uint64_t size) {
        if (bytes_.size() - place_ < size) {
            place_ = bytes_.size();
            throw incomplete();
        }
        std::string taken(bytes_.substr(place_, size));
        place_ += size;
        return taken;
    }

private:
    std::string_view bytes_;
    std::size_t place_ = 0;
};

struct reference_head {
    std::string method;
    std::string target;
    bool newer = false;
    std::multimap<std::string, std::string> fields;
};

std::string trimmed(std::string const& text) {
    std::size_t const begin = text.find_first_not_of(" \t");
    std::size_t const end = text.find_last_not_of(" \t");
    return begin == std::string::npos ? ""
                                      : text.substr(begin, end - begin + 1);
}

std::vector<std::string>
list_of(reference_head const& head, std::string const& name) {
    std::vector<std::string> all;
    auto const [begin, end] = head.fields.equal_range(name);
    for (auto each = begin; each != end; ++each) {
        std::string element;
        for (char const letter : each->second + ',') {
            if (letter == ',') {
                all.push_back(lower(trimmed(element)));
                element.clear();
            } else {
                element += letter;
            }
        }
    }
    return all;
}

reference_head read_head(scanner& from) {
    reference_head head;
    head.method = from.take_while(is_token_letter);
    from.expect(" ");
    head.target = from.take_while(
        [](unsigned char letter) { return letter > 0x20 && letter != 0x7f; });
    from.expect(" HTTP/1.");
    head.newer = from.peek() == '1';
    from.expect(head.newer ? "1\r\n" : "0\r\n");
    if (head.method.empty() || head.target.empty()) {
        throw refused();
    }
    while (!from.skip('\r')) {
        std::string const name = from.take_while(is_token_letter);
        from.expect(":");
        std::string const value = from.take_while(is_field_letter);
        from.expect("\r\n");
        if (name.empty()) {
            throw refused();
        }
        head.fields.emplace(lower(name), trimmed(value));
    }
    from.expect("\n");
    return head;
}

/// @returns the number, at most the largest
std::uint64_t number_of(std::string const& digits, unsigned base) {
    std::uint64_t number = 0;
    for (char const each : digits) {
        unsigned const digit =
            std::isdigit(static_cast<unsigned char>(each)) != 0
                ? static_cast<unsigned>(each - '0')
                : static_cast<unsigned>(each - 'a' + 10);
        std::uint64_t const more = number * base + digit;
        bool const overflow = number > (UINT64_MAX - digit) / base;
        number = overflow ? UINT64_MAX : more;
    }
    return number;
}

std::optional<std::uint64_t> length_of(reference_head const& head) {
    if (head.fields.count("content-length") == 0) {
        return std::nullopt;
    }
    std::string const text = head.fields.find("content-length")->second;
    bool const number =
        !text.empty() && std::ranges::all_of(text, [](char each) {
            return each >= '0' && each <= '9';
        });
    if (head.fields.count("content-length") > 1 || !number) {
        throw refused();
    }
    return number_of(text, 10);
}

std::string read_chunks(scanner& from, std::uint64_t limit) {
    std::string body;
    while (true) {
        std::string const digits = lower(from.take_while(
            [](unsigned char each) { return std::isxdigit(each) != 0; }));
        std::string const blanks = from.take_while(
            [](unsigned char each) { return each == ' ' || each == '\t'; });
        std::string const extension = from.take_while(is_field_letter);
        from.expect("\r\n");
        bool const extended = !extension.empty() && extension.front() == ';';
        if (digits.empty() || (!(blanks + extension).empty() && !extended)) {
            throw refused();
        }
        std::uint64_t const size = number_of(digits, 16);
        if (size > limit - body.size()) {
            throw refused();
        }
        body += from.take(size);
        from.expect("\r\n");
        if (size == 0) {
            return body;
        }
    }
}

std::string
read_body(scanner& from, reference_head const& head, std::uint64_t limit) {
    std::vector<std::string> const codings = list_of(head, "transfer-encoding");
    std::optional<std::uint64_t> const length = length_of(head);
    if (codings.empty()) {
        if (length.value_or(0) > limit) {
            throw refused();
        }
        return from.take(length.value_or(0));
    }
    if (length || !head.newer || codings.size() > 1 ||
        codings.front() != "chunked") {
        throw refused();
    }
    return read_chunks(from, limit);
}

bool asks_to_close(reference_head const& head) {
    std::vector<std::string> const options = list_of(head, "connection");
    bool const close = std::ranges::count(options, "close") > 0;
    bool const keep = std::ranges::count(options, "keep-alive") > 0;
    return close || (!head.newer && !keep);
}

/// @returns true when the connection goes on
bool read_one(scanner& from, std::uint64_t limit, reference_reading& into) {
    while (from.skip('\r')) {
        from.expect("\n");
    }
    reference_head const head = read_head(from);
    std::string body = read_body(from, head, limit);
    into.requests.push_back(
        {head.method, head.target, std::move(body), from.place()});
    return !asks_to_close(head);
}

} // namespace

reference_reading
read_by_reference(std::string_view bytes, std::uint64_t body_limit) {
    reference_reading reading;
    scanner from(bytes);
    try {
        while (read_one(from, body_limit, reading)) {
        }
        reading.end = reference_end::last;
    } catch (refused) {
        reading.end = reference_end::refused;
    } catch (incomplete) {
        reading.end = reference_end::open;
    }
    return reading;
}

} // namespace camphorpoint::testing
