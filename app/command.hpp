#pragma once

#include "app/exit_code.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// The words behind the command's name, without flags.
using command_words = std::vector<std::string>;

/// One subcommand of the binary.
struct command {
    std::string_view name;
    /// What follows the name, as the usage line shows it.
    std::string_view arguments;
    std::string_view summary;
    /// The flags that the command heeds; their help texts make up its help.
    std::span<std::string_view const> flags;
    exit_code (*run)(command_words const& words);
};

/// @returns all commands, in the order of the usage text
std::span<command const> all_commands() noexcept;
/// @returns the command of the name, or null
command const* find_command(std::string_view name) noexcept;
/// @returns the usage of the whole binary
std::string usage_text();
/// @returns the help text of one command, with its flags
std::string help_text(command const& wanted);

exit_code run_serve(command_words const& words);
exit_code run_check_config(command_words const& words);
exit_code run_apply(command_words const& words);
exit_code run_diff(command_words const& words);
exit_code run_status(command_words const& words);
exit_code run_history(command_words const& words);
exit_code run_drain(command_words const& words);
exit_code run_load(command_words const& words);
exit_code run_version(command_words const& words);

} // namespace camphorpoint
