#pragma once

#include "Core/ids.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// What a node says about a change (POST /changes, GET /changes/ID).
struct publish_answer {
    /// True when the change is in the log and every node accepts it.
    bool accepted = false;
    /// False when it is not known whether the change stands in the log.
    bool known = true;
    /// True when another change of one of its profiles came first; the HTTP
    /// status is then 409.
    bool conflict = false;
    log_offset offset;
    /// Why it was rejected, all reasons.
    std::vector<std::string> problems;
};

/// @returns the answer's JSON text
std::string encode(publish_answer const& answer);
/// @returns the answer, or nothing when the text has another form
std::optional<publish_answer> decode_publish_answer(std::string_view text);

} // namespace camphorpoint
