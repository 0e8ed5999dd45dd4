#pragma once

#include <string>

namespace camphorpoint {

/// Runs a node until SIGTERM. @returns the exit code
int serve_command();
/// Publishes a declaration file. @returns the exit code
int apply_command(std::string const& file);

} // namespace camphorpoint
