#include "Gateway/gateway_settings.hpp"
#include "Settings/node_settings.hpp"
#include "app/command.hpp"
#include "app/files.hpp"
#include "app/flags.hpp"

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include <cstdio>

namespace camphorpoint {

namespace {

/// @returns how many things are wrong with the settings
std::size_t check_settings(std::string const& file) {
    std::optional<std::string> const text = read_file(file);
    if (!text) {
        fmt::print(stderr, "{}: cannot be read\n", file);
        return 1;
    }
    findings problems;
    if (is_gateway_settings(*text)) {
        read_gateway_settings(file, *text, problems);
    } else {
        read_node_settings(file, *text, problems);
    }
    fmt::print(stderr, "{}", problems.report());
    return problems.all().size();
}

} // namespace

exit_code run_check_config(command_words const& words) {
    std::string const settings = absl::GetFlag(FLAGS_settings);
    if (words.empty() && settings.empty()) {
        fmt::print(stderr, "check-config: name settings or declarations\n");
        return exit_code::usage;
    }
    std::size_t wrong = settings.empty() ? 0 : check_settings(settings);
    declarations const read = read_declarations(words);
    print_problems(read);
    wrong += read.reader.problems().all().size() + read.unreadable.size();
    if (wrong > 0) {
        fmt::print(stderr, "{} findings\n", wrong);
        return exit_code::usage;
    }
    fmt::print(
        "no findings: {} profiles in {} files\n", read.reader.profiles().size(),
        read.files);
    return exit_code::ok;
}

} // namespace camphorpoint
