#pragma once

#include "Config/change.hpp"
#include "Config/configuration_state.hpp"
#include "Core/ids.hpp"

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace camphorpoint {

/// A piece of a checkpoint, as a record of the log.
struct checkpoint_part {
    /// Keeps the parts of two nodes that write at the same time apart.
    node_id writer;
    state_part part;

    friend bool
    operator==(checkpoint_part const&, checkpoint_part const&) = default;
};

/// All that stands on the log's configuration stream.
using config_record = std::variant<change, change_withdrawal, checkpoint_part>;

/// Why a record's text was not taken.
struct record_error {
    std::string what;
};

/// A record, or why it was not taken.
using decoded_record = boost::outcome_v2::result<
    config_record, record_error, boost::outcome_v2::policy::terminate>;

/// The longest text that is taken as a record of this stream.
inline constexpr std::size_t longest_config_record = 262'144;

/// Writes a record as JSON text, by cereal's JSON archive.
/// @returns the text to append to the log
std::string encode(config_record const& record);

/// Tells a checkpoint's part by its first key alone, since reading it all
/// takes a hundred times as long as a change. What is told so can be no
/// change: decode takes a record with one key only.
bool looks_like_checkpoint(std::string_view text) noexcept;

/// Reads a record strictly: text that is not exactly such a record (broken
/// JSON, missing or further keys, values out of range, a broken rule of
/// check_change) gives an error. Nothing is thrown, whatever the bytes.
/// Keys that a checkpoint has too many are passed over; its digest guards it.
/// @param text a record's data
/// @returns the record or what is wrong
decoded_record decode(std::string_view text) noexcept;

} // namespace camphorpoint
