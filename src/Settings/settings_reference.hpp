#pragma once

#include <string>

namespace camphorpoint {

/// @returns the sections and keys with defaults, ranges and meanings, as they
/// stand in docs/SETTINGS.md
std::string settings_reference();

} // namespace camphorpoint
