#pragma once

#include "Load/deployment.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorpoint {

/// A file of declarations.
struct declaration_file {
    std::string name;
    std::string text;
};

/// Declares the profiles of a deployment that has so many adapters.
/// @param version of each adapter
/// @returns files of some hundred profiles each
std::vector<declaration_file> write_declarations(
    deployment const& site, std::size_t adapters, std::uint32_t version);

} // namespace camphorpoint
