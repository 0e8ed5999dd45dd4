#pragma once

#include "Config/configuration_state.hpp"
#include "Core/ids.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphorpoint {

/// Node to node: this is what I have; what do you have?
struct config_ask {
    /// The asker's number, repeated in the answer; never 0.
    std::uint64_t number = 0;
    /// The asker's next offset.
    log_offset next;
    std::uint64_t digest = 0;
    /// True asks for the whole state, in parts.
    bool whole_state = false;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(number, next, digest, whole_state);
    }
};

/// A record of the log, handed from node to node.
struct copied_record {
    log_offset offset;
    /// Milliseconds since 1970, by the log service's clock.
    std::int64_t appended_ms = 0;
    /// Empty for a record that changes nothing: checkpoints are not handed on,
    /// since they would be most of the bytes.
    std::string data;
    /// What a whole checkpoint covers that this record closes; 0 for others.
    log_offset closes_checkpoint;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(offset, appended_ms, data, closes_checkpoint);
    }
};

/// Node to node: what I have, and records that follow on what you have; as an
/// answer, or unasked when new records came. At most config_message_bytes.
struct config_records {
    /// The ask's number; 0 when nobody asked.
    std::uint64_t number = 0;
    /// The sender's next offset and digest.
    log_offset next;
    std::uint64_t digest = 0;
    /// True when confirmed_age_ms says something.
    bool confirmed = false;
    /// How long ago the sender last knew that `next` was the log's head.
    std::int64_t confirmed_age_ms = 0;
    std::vector<copied_record> records;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(number, next, digest, confirmed, confirmed_age_ms, records);
    }
};

/// Node to node: a part of the whole state that you asked for.
struct config_state {
    std::uint64_t number = 0;
    state_part part;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(number, part);
    }
};

/// What nodes say to each other about configuration.
using config_message = std::variant<config_ask, config_records, config_state>;

/// The most bytes of records or state in one message or checkpoint record.
inline constexpr std::size_t config_message_bytes = 65'536;

} // namespace camphorpoint
