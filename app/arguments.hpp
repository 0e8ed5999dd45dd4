#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// What the command line holds.
struct arguments {
    /// Words that are no flags: the command's name and what follows it.
    std::vector<std::string> words;
    bool help = false;
    /// What is wrong with the flags, all of it; empty when nothing is.
    std::vector<std::string> problems;
};

/// Sets the flags and collects the rest. Unlike absl::ParseCommandLine it
/// reports every wrong flag and leaves the exit code to the caller.
/// @param given the program's arguments without its name
arguments parse_arguments(std::vector<std::string_view> const& given);

} // namespace camphorpoint
