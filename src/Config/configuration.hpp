#pragma once

#include "Config/config_record.hpp"
#include "Config/configuration_state.hpp"
#include "Config/profile.hpp"
#include "Records/log_record.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint {

/// How many offsets a change id is remembered for. It must exceed what the log
/// can take while a publisher may still append the change: 500 records a
/// second over publisher_settings::retry_for (10 s) are 5,000.
inline constexpr std::uint64_t change_memory = 8'192;
/// How many of the latest edits can be undone to answer for an earlier offset.
inline constexpr std::size_t pinned_edits = 4'096;

/// A profile that another change got to first.
struct profile_conflict {
    profile_name name;
    /// The revision that the rejected edit built on.
    std::uint64_t base_revision = 0;
    /// The revision that stood at that time.
    std::uint64_t current_revision = 0;

    friend bool
    operator==(profile_conflict const&, profile_conflict const&) = default;
};

/// What became of one record.
struct apply_report {
    verdict what = verdict::not_a_change;
    /// Empty for a checkpoint and for a record that could not be read.
    change_id id;
    /// Each profile in conflict.
    std::vector<profile_conflict> conflicts;
    /// Why the record is invalid.
    std::string problem;
};

/// A profile as it stood at an offset.
struct pinned_profile {
    /// False when the offset is beyond what this node has or can still undo.
    bool known = false;
    /// Absent when there was no such profile.
    std::optional<profile> value;
};

/// Checks a state that came from outside: order, rules and digest.
bool is_intact(configuration_state const& state);
/// @returns a hash of what a change says, without its id
std::uint64_t content_hash(change const& value);

/// The replay of the log's configuration stream. Every node that applies the
/// same records reaches the same verdicts, profiles and digest.
class configuration {
public:
    /// Applies the record at next(), which the caller has made sure of; a
    /// record from before next() changes nothing.
    /// @param record a record of the stream
    /// @returns what became of it
    apply_report apply(log_record const& record);

    /// Steps over the record at next(), which is known to change nothing.
    void pass(log_offset offset);

    /// Takes a whole state from a checkpoint or a peer, if it is ahead of this
    /// one and its digest is right. A state that is not ahead is refused, so
    /// that nothing ever reverts.
    /// @returns true when it was taken
    bool adopt(configuration_state const& state);

    /// @returns a copy of the whole state
    configuration_state snapshot() const;
    /// @returns one past the last offset applied
    log_offset next() const noexcept { return next_; }
    /// @returns the same number on every node that has the same next()
    std::uint64_t digest() const noexcept { return digest_; }

    /// @returns the profile in force, or null
    profile const* find(profile_name const& name) const;
    /// @param at a request's pinned offset: next() of the admitting node
    /// @returns the profile that was in force then
    pinned_profile find_at(profile_name const& name, log_offset at) const;
    /// @returns the revision in force or of the tombstone; 0 when neither is
    std::uint64_t revision_of(profile_name const& name) const;
    /// @returns profiles and tombstones, in order of name
    std::map<profile_name, profile_state> const& all() const noexcept {
        return profiles_;
    }
    /// @returns how many profiles are in force
    std::size_t in_force() const noexcept { return in_force_; }
    /// @returns the first verdict on a change, while it is remembered
    std::optional<remembered_change> verdict_of(change_id const& id) const;
    /// @returns each edit of a change that does not build on what stands now
    std::vector<profile_conflict> conflicts_of(change const& value) const;

private:
    struct undo {
        /// The accepting record's offset.
        log_offset offset;
        profile_name name;
        std::optional<profile_state> before;
    };

    void advance(log_offset offset);
    apply_report judge(change const& value, log_offset offset);
    apply_report judge(change_withdrawal const& value, log_offset offset);
    apply_report judge(checkpoint_part const& value, log_offset offset);
    void accept(profile_edit const& edit, log_offset offset);
    void replace(profile_state state);
    void remember(remembered_change entry);
    void forget_old();

    log_offset next_;
    std::uint64_t digest_ = 0;
    std::size_t in_force_ = 0;
    std::map<profile_name, profile_state> profiles_;
    std::map<change_id, remembered_change> changes_;
    /// Ids of changes_, oldest first.
    std::deque<change_id> change_order_;
    std::deque<undo> undo_;
    /// The lowest offset that find_at answers for.
    log_offset pinned_from_;
};

} // namespace camphorpoint
