#pragma once

#include "Load/record_audit.hpp"
#include "Load/request_result.hpp"

#include <string>
#include <vector>

namespace camphorpoint {

/// Reads the stand-ins' records and holds them against the run.
/// @param engines  addresses of engine stand-ins
/// @param services addresses of service stand-ins
/// @param results  of the run
/// @param audit    filled in
/// @returns the addresses whose records could not be read
std::vector<std::string> audit_records(
    std::vector<std::string> const& engines,
    std::vector<std::string> const& services,
    std::vector<request_result> const& results, record_audit& audit);

} // namespace camphorpoint
