#include "Config/profile_rules.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace camphorpoint {

namespace {

bool is_control(char letter) noexcept {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_code = 0x7f;
    auto const code = static_cast<unsigned char>(letter);
    return code < first_printable || code == delete_code;
}

void add(std::vector<std::string>& problems, std::string problem) {
    if (!problem.empty()) {
        problems.push_back(std::move(problem));
    }
}

} // namespace

std::string check_name(std::string_view what, std::string const& name) {
    if (name.empty()) {
        return fmt::format("{} is empty", what);
    }
    if (name.size() > longest_name) {
        return fmt::format("{} is over {} bytes", what, longest_name);
    }
    if (std::ranges::any_of(name, is_control)) {
        return fmt::format("{} has a control character", what);
    }
    return {};
}

std::vector<std::string> check_profile(profile const& value) {
    std::vector<std::string> problems;
    add(problems, check_name("name", value.name.str()));
    add(problems, check_name("model or service", value.model.str()));
    if (value.kind > endpoint_kind::service) {
        problems.emplace_back("kind is not known");
    }
    if (value.how_urgent > urgency::background) {
        problems.emplace_back("urgency is not known");
    }
    if (value.kind == endpoint_kind::engine) {
        add(problems, check_name("adapter", value.adapter.id.str()));
        if (value.adapter.version == 0) {
            problems.emplace_back("version is 0");
        }
    } else if (value.adapter != adapter_ref{}) {
        problems.emplace_back("a service has no adapter");
    }
    if (value.default_deadline.count() <= 0 ||
        value.default_deadline > longest_deadline) {
        problems.emplace_back("deadline is out of range");
    }
    return problems;
}

} // namespace camphorpoint
