#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorpoint::soak {

/// What callers have been told about their requests, to be compared with what
/// the replicas have run.
struct told_fates {
    /// Ids of requests with a status that promises that they never run.
    std::set<std::string> refused;
    /// Ids of requests whose connection was reset before any answer, which
    /// tells that they were not read.
    std::set<std::string> reset;
    /// Answers to another request, or successes that no replica has signed.
    std::vector<std::string> foreign;
    unsigned served = 0;
    unsigned unknown = 0;
};

/// One broken promise.
struct violation {
    /// REFUSED, TWICE, RESET or MIXED.
    std::string rule;
    std::string id;
};

/// Reads the ledger that the replicas have written together.
/// @returns how often each id has run
std::map<std::string, unsigned> read_ledger(std::string const& file);

/// Compares what callers were told with what has run.
/// @param once_only ids of requests that may run once at most
std::vector<violation> find_violations(
    std::map<std::string, unsigned> const& runs, told_fates const& told,
    std::set<std::string> const& once_only);

} // namespace camphorpoint::soak
