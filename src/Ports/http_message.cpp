#include "Ports/http_message.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace camphorpoint {

namespace {

bool same_name(std::string_view left, std::string_view right) noexcept {
    auto const lower = [](unsigned char letter) {
        return std::tolower(letter);
    };
    return std::ranges::equal(left, right, {}, lower, lower);
}

} // namespace

void http_fields::add(std::string name, std::string value) {
    all_.push_back({std::move(name), std::move(value)});
}

std::string_view http_fields::get(std::string_view name) const noexcept {
    for (http_field const& each : all_) {
        if (same_name(each.name, name)) {
            return each.value;
        }
    }
    return {};
}

std::string_view path_of(std::string_view target) noexcept {
    return target.substr(0, target.find('?'));
}

std::string_view
query_value(std::string_view target, std::string_view name) noexcept {
    std::size_t const mark = target.find('?');
    if (mark == std::string_view::npos) {
        return {};
    }
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty()) {
        std::size_t const end = rest.find('&');
        std::string_view const pair = rest.substr(0, end);
        std::size_t const equals = pair.find('=');
        if (equals != std::string_view::npos &&
            pair.substr(0, equals) == name) {
            return pair.substr(equals + 1);
        }
        rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    }
    return {};
}

} // namespace camphorpoint
