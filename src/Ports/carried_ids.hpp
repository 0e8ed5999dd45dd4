#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace camphorpoint::internal {

/// The ids of the requests that a connection has carried. A server may send a
/// copy of an answer late, and only the id tells to which request it belongs.
/// It does so as long as an id is sent once on a connection.
class carried_ids {
public:
    /// Requests that a connection carries at the most. Bounds this list to
    /// 8 KiB, at one new connection in a thousand requests.
    static constexpr std::size_t limit = 1'000;

    /// @param id empty for a request without an id, whose answer bears none
    void add(std::string_view id);
    /// Records that an answer without an id has come.
    void note_unnamed() noexcept { unnamed_ = true; }
    /// @returns true when a late copy of an answer may come without an id
    bool unnamed() const noexcept { return unnamed_; }
    /// @returns true when a request with this id was carried; rarely also for
    ///          an id whose hash equals that of a carried one
    bool contains(std::string_view id) const;
    /// @returns true when no further request may be carried
    bool full() const noexcept { return hashes_.size() >= limit; }

private:
    std::vector<std::uint64_t> hashes_;
    bool unnamed_ = false;
};

} // namespace camphorpoint::internal
