#include "app/arguments.hpp"

#include <absl/flags/reflection.h>
#include <absl/strings/string_view.h>
#include <fmt/format.h>

namespace camphorpoint {

namespace {

absl::CommandLineFlag* find_flag(std::string_view name) {
    return absl::FindCommandLineFlag(
        absl::string_view(name.data(), name.size()));
}

bool is_truth_flag(std::string_view name) {
    absl::CommandLineFlag* flag = find_flag(name);
    return flag != nullptr && flag->IsOfType<bool>();
}

void set_flag(std::string_view text, arguments& result) {
    std::size_t const equals = text.find('=');
    std::string_view name = text.substr(0, equals);
    std::string value(
        equals == std::string_view::npos ? "" : text.substr(equals + 1));
    if (equals == std::string_view::npos && is_truth_flag(name)) {
        value = "true";
    } else if (equals == std::string_view::npos) {
        result.problems.push_back(
            fmt::format("--{}: must be written as --{}=VALUE", name, name));
        return;
    }
    absl::CommandLineFlag* flag = find_flag(name);
    std::string error;
    if (flag == nullptr) {
        result.problems.push_back(fmt::format("--{}: is not a flag", name));
    } else if (!flag->ParseFrom(value, &error)) {
        result.problems.push_back(fmt::format("--{}: {}", name, error));
    }
}

} // namespace

arguments parse_arguments(std::vector<std::string_view> const& given) {
    arguments result;
    for (std::string_view const each : given) {
        if (each == "--help" || each == "-h") {
            result.help = true;
        } else if (each.starts_with("--")) {
            set_flag(each.substr(2), result);
        } else {
            result.words.emplace_back(each);
        }
    }
    return result;
}

} // namespace camphorpoint
