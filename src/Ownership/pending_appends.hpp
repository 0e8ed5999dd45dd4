#pragma once

#include "Core/time.hpp"
#include "Ownership/control_record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorpoint {

/// An append that has not been read back yet.
struct pending_append {
    control_record record;
    instant started_at;
    /// When the log answered that the record stands.
    std::optional<instant> answered_at;
    /// When it became clear that no answer will come.
    std::optional<instant> lost_at;
};

/// The appends that this run began and has not read back.
class pending_appends {
public:
    /// @param first the first append's number; random, so that another run
    ///        that bears the same start time is told apart
    explicit pending_appends(std::uint64_t first)
        : first_(first)
        , next_(first) {}

    /// Numbers a record and remembers it.
    /// @returns the number
    std::uint64_t begin(control_record record, instant now);
    /// @returns true when this run began the append
    bool started_here(std::uint64_t append) const noexcept;
    /// The record was read: it is no longer pending.
    /// @returns what was pending, if it still was
    std::optional<pending_append> read_back(std::uint64_t append);
    /// The log answered.
    void on_answered(std::uint64_t append, instant now);
    /// No answer will come.
    void on_lost(std::uint64_t append, instant now);
    /// Counts those as lost that have had no answer for too long.
    void expire(duration limit, instant now);
    /// Gives up on lost appends that a read begun later did not show.
    /// @param read_started the start of a read that reached the head
    /// @param lag          how far reads may be behind
    /// @returns those that were given up
    std::vector<pending_append>
    drain_absent(instant read_started, duration lag);
    /// @returns true when a pending record claims the resource
    bool claims(resource_id const& resource) const;
    /// @returns true when nothing is pending
    bool empty() const noexcept { return pending_.empty(); }

private:
    std::uint64_t first_;
    std::uint64_t next_;
    std::map<std::uint64_t, pending_append> pending_;
};

} // namespace camphorpoint
