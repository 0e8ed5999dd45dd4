#pragma once

#include "Config/config_record.hpp"

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// The form that records have in the log: every field by name, every code
/// spelled out, so that an operator can read it there, and so that a change of
/// the types that nodes use between themselves does not change the log.
namespace camphorpoint::internal {

/// Written into each record; a record with another is refused.
inline constexpr std::uint32_t record_format = 1;

struct profile_text {
    std::string name;
    std::string kind;
    std::string model;
    std::string adapter;
    std::uint32_t version = 0;
    std::string urgency;
    bool idempotent = true;
    std::int64_t deadline_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            cereal::make_nvp("name", name), cereal::make_nvp("kind", kind),
            cereal::make_nvp("model", model),
            cereal::make_nvp("adapter", adapter),
            cereal::make_nvp("version", version),
            cereal::make_nvp("urgency", urgency),
            cereal::make_nvp("idempotent", idempotent),
            cereal::make_nvp("deadline_ms", deadline_ms));
    }
};

/// The code of an edit that puts a profile.
inline constexpr char const* put_code = "put";
/// The code of an edit that removes a profile.
inline constexpr char const* remove_code = "remove";

struct edit_text {
    std::string action;
    std::uint64_t base_revision = 0;
    /// Only its name when the action is remove_code.
    profile_text profile;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            cereal::make_nvp("action", action),
            cereal::make_nvp("base_revision", base_revision));
        if (action == remove_code) {
            archive(cereal::make_nvp("name", profile.name));
        } else {
            archive(cereal::make_nvp("profile", profile));
        }
    }
};

struct change_text {
    std::uint32_t format = record_format;
    std::string id;
    std::string author;
    std::vector<edit_text> edits;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            cereal::make_nvp("format", format), cereal::make_nvp("id", id),
            cereal::make_nvp("author", author),
            cereal::make_nvp("edits", edits));
    }
};

struct withdrawal_text {
    std::uint32_t format = record_format;
    std::string id;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(cereal::make_nvp("format", format), cereal::make_nvp("id", id));
    }
};

struct profile_state_text {
    std::uint64_t revision = 0;
    bool removed = false;
    profile_text profile;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            cereal::make_nvp("revision", revision),
            cereal::make_nvp("removed", removed));
        if (removed) {
            archive(cereal::make_nvp("name", profile.name));
        } else {
            archive(cereal::make_nvp("profile", profile));
        }
    }
};

struct remembered_text {
    std::string id;
    std::uint64_t offset = 0;
    std::string verdict;
    std::uint64_t content = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            cereal::make_nvp("id", id), cereal::make_nvp("offset", offset),
            cereal::make_nvp("verdict", verdict),
            cereal::make_nvp("content", content));
    }
};

struct checkpoint_text {
    std::uint32_t format = record_format;
    std::string writer;
    std::uint64_t covers = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::uint64_t digest = 0;
    std::vector<profile_state_text> profiles;
    std::vector<remembered_text> changes;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            cereal::make_nvp("format", format),
            cereal::make_nvp("writer", writer),
            cereal::make_nvp("covers", covers),
            cereal::make_nvp("index", index), cereal::make_nvp("count", count),
            cereal::make_nvp("digest", digest),
            cereal::make_nvp("profiles", profiles),
            cereal::make_nvp("changes", changes));
    }
};

/// What a record's text says, before its codes and rules are checked.
change_text to_text(change const& value);
withdrawal_text to_text(change_withdrawal const& value);
checkpoint_text to_text(checkpoint_part const& value);

/// The way back; a code or value that is not known gives an error.
decoded_record from_text(change_text const& text);
decoded_record from_text(withdrawal_text const& text);
decoded_record from_text(checkpoint_text const& text);

} // namespace camphorpoint::internal
