#pragma once

#include "Serving/node_status.hpp"

#include <string>

namespace camphorpoint {

/// @returns what GET /status answers
std::string write_status(node_status const& status);

/// @returns what GET /readyz answers: ready, and why not
std::string write_readiness(node_status const& status);

} // namespace camphorpoint
