#pragma once

#include "app/exit_code.hpp"

#include <string>
#include <string_view>

namespace camphorpoint {

/// Runs a gateway node until SIGTERM.
/// @param file the settings file, read again on SIGHUP and when it changes
/// @param text its content
exit_code run_gateway(std::string const& file, std::string_view text);

} // namespace camphorpoint
