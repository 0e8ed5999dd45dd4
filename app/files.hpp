#pragma once

#include "Config/declaration_reader.hpp"

#include <optional>
#include <string>
#include <vector>

namespace camphorpoint {

/// @returns the file's content, or nothing when it cannot be read
std::optional<std::string> read_file(std::string const& name);

/// What was read from an operator's declarations.
struct declarations {
    declaration_reader reader;
    /// How many files were read.
    std::size_t files = 0;
    /// Paths that could not be read.
    std::vector<std::string> unreadable;

    bool usable() const {
        return reader.problems().empty() && unreadable.empty();
    }
};

/// Reads declarations.
/// @param paths files, and folders of which each .toml file is read, in order
///              of name
declarations read_declarations(std::vector<std::string> const& paths);
/// Prints everything that is wrong to standard error.
void print_problems(declarations const& read);

} // namespace camphorpoint
