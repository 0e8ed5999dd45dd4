#include "Fleet/run_ledger.hpp"

#include <chrono>

namespace camphorpoint {

namespace {

/// A node repeats its counts every 200 ms while it has runs. One that tells
/// nothing for so long has stopped, and its runs are over.
constexpr duration telling_ends = std::chrono::seconds(3);

} // namespace

bool run_ledger::silent(told_runs const& of, instant now) {
    return now >= of.when + telling_ends;
}

void run_ledger::told(
    std::string const& node, std::uint64_t replica, adapter_id const& adapter,
    unsigned running, unsigned prompt_tokens, instant now) {
    at_replica& at = replicas_[replica];
    if (prompt_tokens > 0) {
        at.backlog.add(prompt_tokens, now);
    }
    if (running == 0) {
        at.runs.erase({node, adapter});
        return;
    }
    at.runs[{node, adapter}] = {running, now};
}

replica_total run_ledger::total(std::uint64_t replica, instant now) const {
    replica_total sum;
    auto const found = replicas_.find(replica);
    if (found == replicas_.end()) {
        return sum;
    }
    for (auto const& [who, runs] : found->second.runs) {
        sum.running += silent(runs, now) ? 0 : runs.running;
    }
    sum.backlog_tokens = found->second.backlog.tokens_left(now);
    return sum;
}

bool run_ledger::in_use(
    std::uint64_t replica, adapter_id const& adapter, instant now) const {
    auto const found = replicas_.find(replica);
    if (found == replicas_.end()) {
        return false;
    }
    for (auto const& [who, runs] : found->second.runs) {
        if (who.second == adapter && !silent(runs, now)) {
            return true;
        }
    }
    return false;
}

void run_ledger::forget_silent(instant now) {
    for (auto at = replicas_.begin(); at != replicas_.end();) {
        std::erase_if(at->second.runs, [&](auto const& each) {
            return silent(each.second, now);
        });
        bool const idle = at->second.runs.empty() &&
                          at->second.backlog.tokens_left(now) <= 0;
        at = idle ? replicas_.erase(at) : std::next(at);
    }
}

} // namespace camphorpoint
