#pragma once

#include <string>

namespace camphorpoint::soak {

/// @returns an address of the loopback network that no other process takes
std::string own_host();

} // namespace camphorpoint::soak
