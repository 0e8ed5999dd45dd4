#pragma once

#include "Core/time.hpp"
#include "Ownership/control_record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorpoint {

/// An append whose record has not been read back from the log yet.
struct pending_append {
    control_record record;
    instant started_at;
    /// When the log confirmed the append.
    std::optional<instant> answered_at;
    /// When the append was classified as lost, because no answer will come.
    std::optional<instant> lost_at;
};

/// The appends that this run of the node started and has not read back yet.
class pending_appends {
public:
    /// @param first number of the first append; it must be random, so that
    ///        records of another run with the same start time can be
    ///        distinguished
    explicit pending_appends(std::uint64_t first)
        : first_(first)
        , next_(first) {}

    /// Assigns a number to a record and stores the record as pending.
    /// @returns the number of the append
    std::uint64_t begin(control_record record, instant now);
    /// @returns true when this run started the append with this number
    bool started_here(std::uint64_t append) const noexcept;
    /// Removes an append whose record was read from the log.
    /// @returns the append, if it was still pending
    std::optional<pending_append> read_back(std::uint64_t append);
    /// Records that the log confirmed the append.
    void on_answered(std::uint64_t append, instant now);
    /// Records that the append will have no answer.
    void on_lost(std::uint64_t append, instant now);
    /// Marks appends as lost that had no answer within the limit.
    void expire(duration limit, instant now);
    /// Removes the lost appends whose records did not appear in a later read.
    /// @param read_started start of a read that reached the head of the log
    /// @param lag largest time by which reads may lag behind the head
    /// @returns the appends that did not take effect
    std::vector<pending_append>
    drain_absent(instant read_started, duration lag);
    /// @returns true when a pending record claims the resource
    bool claims(resource_id const& resource) const;
    /// @returns true when no append is pending
    bool empty() const noexcept { return pending_.empty(); }

private:
    std::uint64_t first_;
    std::uint64_t next_;
    std::map<std::uint64_t, pending_append> pending_;
};

} // namespace camphorpoint
