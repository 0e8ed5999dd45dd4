#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace camphorpoint {

/// What replay made of a record. The first three are kept by change id.
enum class verdict : std::uint8_t {
    /// The change is in force.
    accepted,
    /// Another change of one of its profiles came first; nothing is in force.
    rejected_conflict,
    /// The change was withdrawn before it showed up; it never comes in force.
    withdrawn,
    /// The record is broken, or breaks a rule; nothing is in force.
    rejected_invalid,
    /// A record with this change id came before; this one changes nothing.
    repeated,
    /// A checkpoint, or a record that replay already has behind it.
    not_a_change
};

/// A profile with its revision, or what is left of a removed one.
struct profile_state {
    /// Of a removed profile, only name and revision count.
    profile value;
    /// True for a tombstone: it keeps the revision, so that an edit from
    /// before the removal stays in conflict.
    bool removed = false;

    friend bool
    operator==(profile_state const&, profile_state const&) = default;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(value, removed);
    }
};

/// A change id that replay remembers, with the first verdict on it.
struct remembered_change {
    change_id id;
    /// Where the record stands that brought the verdict.
    log_offset offset;
    verdict first = verdict::accepted;
    /// Hash of the change's content, which tells an id used twice; 0 when
    /// withdrawn.
    std::uint64_t content = 0;

    friend bool
    operator==(remembered_change const&, remembered_change const&) = default;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(id, offset, first, content);
    }
};

/// All that replay has made of the log up to an offset.
struct configuration_state {
    /// One past the last record that it covers.
    log_offset next;
    /// Same on every node that has replayed up to the same offset.
    std::uint64_t digest = 0;
    /// In order of name.
    std::vector<profile_state> profiles;
    /// In order of offset.
    std::vector<remembered_change> changes;

    friend bool operator==(
        configuration_state const&, configuration_state const&) = default;
};

/// A piece of a state, small enough for one record or message.
struct state_part {
    /// The state's `next`.
    log_offset covers;
    std::uint32_t index = 0;
    std::uint32_t count = 1;
    /// The whole state's digest; only the closing part bears it, else 0.
    std::uint64_t digest = 0;
    std::vector<profile_state> profiles;
    std::vector<remembered_change> changes;

    /// @returns true for the last part
    bool closing() const noexcept { return index + 1 == count; }

    friend bool operator==(state_part const&, state_part const&) = default;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(covers, index, count, digest, profiles, changes);
    }
};

} // namespace camphorpoint
