#include "app/command.hpp"

#include <absl/flags/reflection.h>
#include <absl/strings/string_view.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace camphorpoint {

namespace {

absl::CommandLineFlag* find_flag(std::string_view name) {
    return absl::FindCommandLineFlag(
        absl::string_view(name.data(), name.size()));
}

constexpr std::array<std::string_view, 1> serve_flags{"settings"};
constexpr std::array<std::string_view, 1> check_flags{"settings"};
constexpr std::array<std::string_view, 8> apply_flags{
    "node",  "author",      "change_id", "prune",
    "check", "in_force_on", "wait",      "timeout"};
constexpr std::array<std::string_view, 3> diff_flags{
    "node", "prune", "timeout"};
constexpr std::array<std::string_view, 3> status_flags{
    "node", "nodes", "timeout"};
constexpr std::array<std::string_view, 2> node_flags{"node", "timeout"};
constexpr std::array<std::string_view, 3> drain_flags{
    "node", "wait", "timeout"};
constexpr std::array<std::string_view, 20> load_flags{
    "entry_nodes",
    "deployment",
    "rate",
    "duration",
    "seed",
    "adapters",
    "zipf",
    "tokens",
    "slow_callers",
    "breaking_callers",
    "repeats",
    "direct",
    "engines",
    "services",
    "verify_records",
    "json",
    "write_declarations",
    "versions",
    "allow_cuts",
    "least_done"};

constexpr std::array<command, 9> commands{{
    {"serve", "--settings=FILE", "runs a node until SIGTERM", serve_flags,
     run_serve},
    {"check-config", "[--settings=FILE] [DIR|FILE...]",
     "checks settings and declarations, and prints all findings", check_flags,
     run_check_config},
    {"apply", "DIR|FILE...", "brings declarations in force", apply_flags,
     run_apply},
    {"diff", "DIR|FILE...", "shows what apply would change", diff_flags,
     run_diff},
    {"status", "", "shows what nodes have in force, own and schedule",
     status_flags, run_status},
    {"history", "", "shows the changes and the verdicts on them", node_flags,
     run_history},
    {"drain", "", "stops a node gracefully", drain_flags, run_drain},
    {"load", "", "sends load and checks each answer", load_flags, run_load},
    {"version", "", "prints the version", {}, run_version},
}};

} // namespace

std::span<command const> all_commands() noexcept {
    return commands;
}

command const* find_command(std::string_view name) noexcept {
    auto const* const found = std::ranges::find(commands, name, &command::name);
    return found == commands.end() ? nullptr : found;
}

std::string usage_text() {
    std::string text = "usage: camphorpoint COMMAND [--FLAG=VALUE...] ...\n\n";
    for (command const& each : commands) {
        text += fmt::format("  {:<13} {}\n", each.name, each.summary);
    }
    text += "\ncamphorpoint COMMAND --help shows a command's flags.\n"
            "Exit codes: 0 ok, 1 failed, 2 usage or findings, 3 conflict, "
            "4 unknown outcome.\n";
    return text;
}

std::string help_text(command const& wanted) {
    std::string text = fmt::format(
        "camphorpoint {} {}\n\n{}.\n", wanted.name, wanted.arguments,
        wanted.summary);
    for (std::string_view const name : wanted.flags) {
        absl::CommandLineFlag const* flag = find_flag(name);
        if (flag != nullptr) {
            text += fmt::format(
                "\n  --{}={}\n      {}\n", name, flag->DefaultValue(),
                flag->Help());
        }
    }
    return text;
}

} // namespace camphorpoint
