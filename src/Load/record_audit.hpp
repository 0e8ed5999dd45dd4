#pragma once

#include "Load/request_result.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// Compares what callers were told with what the endpoints did.
class record_audit {
public:
    /// Takes an engine stand-in's /records.
    /// @returns false when the text is no such answer
    bool take_engine(std::string_view records);
    /// Takes a service stand-in's /records.
    /// @returns false when the text is no such answer
    bool take_service(std::string_view records);
    /// Checks the requests of a run, all of which have ended.
    void check(std::vector<request_result> const& results);

    /// @returns each breach, in words; empty when the promises were kept
    std::vector<std::string> const& breaches() const noexcept {
        return breaches_;
    }
    /// @returns a line of figures
    std::string summary() const;

private:
    void check_one(request_result const& result);

    // Runs by what was asked; keys as the stand-ins write them.
    std::map<std::string, std::uint64_t> engine_runs_;
    std::map<std::string, std::uint64_t> service_runs_;
    std::uint64_t evictions_under_request_ = 0;
    std::uint64_t double_runs_ = 0;
    std::uint64_t not_run_that_ran_ = 0;
    std::uint64_t non_idempotent_ = 0;
    std::uint64_t told_not_run_ = 0;
    std::uint64_t done_that_never_ran_ = 0;
    std::uint64_t runs_ = 0;
    std::vector<std::string> breaches_;
};

} // namespace camphorpoint
