#pragma once

#include "common/json_body.hpp"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace standins {

/// What becomes of one append.
enum class append_fate : std::uint8_t {
    normal,
    /// The record stands; the answer does not arrive.
    answer_lost,
    /// Neither does the record stand nor does an answer arrive.
    request_lost
};

/// The faults of the log that are switched on.
class log_faults {
public:
    /// Changes what an admin call names, and leaves the rest.
    void change(json_body const& order);
    /// @param node   the caller's name, from X-Node
    /// @param domain its failure domain, from X-Domain
    /// @returns true when this caller reaches the log
    bool reachable(std::string_view node, std::string_view domain) const;
    /// Uses up one lost answer or request, if any is left.
    append_fate next_append();
    /// @returns how much slower each answer is
    std::chrono::milliseconds delay() const noexcept { return delay_; }
    /// @returns what is switched on, as JSON
    std::string describe() const;

private:
    bool outage_ = false;
    std::int64_t lose_answers_ = 0;
    std::int64_t lose_requests_ = 0;
    std::chrono::milliseconds delay_{};
    std::set<std::string, std::less<>> cut_from_;
};

} // namespace standins
