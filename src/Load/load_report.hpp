#pragma once

#include "Load/request_result.hpp"
#include "Load/sample_set.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorpoint {

/// Times and ends of one kind of request.
struct task_summary {
    std::uint64_t requests = 0;
    std::map<std::string, std::uint64_t> ends;
    /// Reason codes of the answers that are not done.
    std::map<std::string, std::uint64_t> reasons;
    std::map<std::string, std::uint64_t> faults;
    sample_set first_token;
    sample_set total;
    sample_set gaps;
};

/// Sums up a run.
class load_report {
public:
    /// Takes a request that has ended.
    void add(request_result result);
    /// @returns the results, in the order in which they ended
    std::vector<request_result> const& results() const noexcept {
        return results_;
    }
    /// @returns answers that were wrong, crossed or too short
    std::uint64_t wrong() const noexcept { return wrong_; }
    /// @returns answers that were cut and not resumed to their end
    std::uint64_t cut() const noexcept { return cut_; }
    /// @returns the share of the requests, probes left out, that ended as done;
    /// zero when there were none
    double share_done() const;
    /// @returns a table for people
    std::string table() const;
    /// @returns the same as JSON
    std::string json() const;

private:
    void add_to(task_summary& summary, request_result const& result);

    std::vector<request_result> results_;
    std::map<std::string, task_summary> tasks_;
    std::uint64_t wrong_ = 0;
    std::uint64_t cut_ = 0;
    std::uint64_t resumes_ = 0;
    std::uint64_t repeats_ = 0;
    std::uint64_t refused_connections_ = 0;
};

} // namespace camphorpoint
