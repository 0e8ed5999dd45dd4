#pragma once

#include "Config/profile.hpp"
#include "Core/findings.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// Reads declarations of profiles (TOML), as operators keep them under version
/// control. Every finding is collected; none hides another.
class declaration_reader {
public:
    /// Reads one file's text.
    /// @param file the name that findings bear
    /// @param text the file's content
    void read(std::string const& file, std::string_view text);
    /// @returns the profiles of all files read, in order of name
    std::vector<profile> const& profiles() const noexcept { return profiles_; }
    /// @returns what was wrong in any of the files
    findings const& problems() const noexcept { return problems_; }

private:
    std::vector<profile> profiles_;
    findings problems_;
};

} // namespace camphorpoint
