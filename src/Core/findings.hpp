#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace camphorpoint {

/// Where in the operator's files a finding was made.
struct place {
    std::string file;
    std::size_t line = 0;
    std::string key;
};

/// One thing wrong with settings or declarations.
struct finding {
    place where;
    std::string what;
};

/// Collects everything that is wrong, so that one run reports all of it.
class findings {
public:
    /// Adds one finding.
    /// @param where file, line and key
    /// @param what  what is wrong and what would be right
    void add(place where, std::string what);
    /// @returns true when nothing is wrong
    bool empty() const noexcept { return all_.empty(); }
    /// @returns the findings in the order in which they were made
    std::vector<finding> const& all() const noexcept { return all_; }
    /// @returns one line each: file:line: key: what
    std::string report() const;

private:
    std::vector<finding> all_;
};

} // namespace camphorpoint
