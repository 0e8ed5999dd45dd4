#pragma once

#include "Core/time.hpp"

#include <cstdint>

namespace camphorpoint {

/// What another node's word of its reading of the list means for this node.
enum class list_word : std::uint8_t {
    /// It goes on where this node stands: its records are to be applied.
    applies,
    /// Nothing in it is new.
    old,
    /// Records before it were missed: this node reads them itself, at once.
    gap
};

/// Whose turn it is to read the list of replicas. Each node waits for a pause
/// of its own length; the first that reads tells all what it read, and the
/// others' pauses begin anew. So some calls a second do for any number of
/// nodes, and nobody has to be chosen: when the reader is gone, cut off or
/// turned away, the next one's pause ends a little later.
///
/// Guards against a leaving that one node misses while it relies on others:
/// a word names the places that it covers, a lost one shows as a gap in the
/// next, and without any word the node reads for itself.
class list_turns {
public:
    /// @param longest a node that hears nothing reads after this
    explicit list_turns(duration longest)
        : longest_(longest) {}

    /// This node has read up to a place.
    void was_read(std::uint64_t next, instant now);
    /// Another node has read the records from one place to another.
    list_word heard(std::uint64_t from, std::uint64_t to, instant now);

    /// @param draw 0 to 1, another one after each reading
    /// @returns when this node reads next
    instant due(double draw) const;
    /// @returns where it reads on
    std::uint64_t next() const noexcept { return next_; }

private:
    /// Pauses are from this part of the longest on. The wider they lie apart,
    /// the fewer nodes read before the first one's word has come; the longer,
    /// the later a leaving is known.
    static constexpr double least_part = 0.7;

    duration longest_;
    std::uint64_t next_ = 0;
    bool known_ = false;
    bool gap_ = false;
    instant since_;
};

} // namespace camphorpoint
