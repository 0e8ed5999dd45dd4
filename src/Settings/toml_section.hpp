#pragma once

#include "Core/findings.hpp"

#include <toml++/toml.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// Parses a file, and reports a syntax error as a finding.
/// @param file     the name that the finding bears
/// @param text     the file's content
/// @param problems where a syntax error goes
/// @returns the table, or nothing when the syntax is wrong
std::optional<toml::table>
parse_toml(std::string const& file, std::string_view text, findings& problems);

/// One table of a TOML file, read key by key. What is missing, of the wrong
/// type, out of range or unknown goes to the findings, and reading goes on
/// with a harmless value.
class toml_section {
public:
    toml_section(
        std::string file, std::string prefix, toml::table const& table,
        findings& problems);
    /// @param replaced where findings go in whose place a default is used
    toml_section(
        std::string file, std::string prefix, toml::table const& table,
        findings& problems, findings& replaced);

    /// @returns the text at the key, or the fallback
    std::string text(std::string const& key, std::string fallback);
    /// @returns the text at the key; its absence is a finding
    std::string required_text(std::string const& key);
    /// @returns the number at the key; without fallback its absence is a
    /// finding
    std::int64_t integer(
        std::string const& key, std::optional<std::int64_t> fallback,
        std::int64_t least, std::int64_t most);
    /// @returns the truth value at the key; without fallback its absence is a
    /// finding
    bool boolean(std::string const& key, std::optional<bool> fallback);
    /// Reads a time with its unit, such as "250ms", "7.5s", "2min" or "1h".
    /// @returns the time at the key, to the nearest millisecond, or the
    /// fallback
    std::chrono::milliseconds time(
        std::string const& key, std::chrono::milliseconds fallback,
        std::chrono::milliseconds least, std::chrono::milliseconds most);
    /// @returns the sub-table at the key, empty when there is none
    toml_section table(std::string const& key);
    /// @returns the tables of an array of tables ([[key]])
    std::vector<toml_section> tables(std::string const& key);
    /// @returns the texts of an array
    std::vector<std::string> texts(std::string const& key);

    /// Adds a finding at a key of this table.
    void complain(std::string const& key, std::string what);
    /// Adds a finding at a key whose default is used instead.
    void complain_replaced(std::string const& key, std::string what);
    /// No default of this table is safe to use in place of what can't be read.
    void distrust_defaults() noexcept { replaced_ = problems_; }
    /// Adds a finding for each key that nothing has asked for.
    void refuse_unknown_keys();

private:
    toml::node const* find(std::string const& key);
    void
    complain_unless(bool replaced, std::string const& key, std::string what);
    place place_of(std::string const& key) const;

    std::string file_;
    std::string prefix_;
    toml::table const* table_;
    findings* problems_;
    findings* replaced_;
    std::set<std::string> asked_;
};

} // namespace camphorpoint
