#pragma once

#include "Core/time.hpp"

#include <cstddef>
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

/// What a node's turn depends on.
struct reader_place {
    /// How many nodes go before this one, in an order that all agree on.
    std::size_t rank = 0;
    /// How many nodes there are, this one included.
    std::size_t nodes = 1;
    /// 0 to 1, another one after each reading, this node's or another's: those
    /// that keep theirs all come to have late ones, and read together.
    double draw = 0;
};

/// Whose turn it is to read the list of replicas. The node that goes first
/// reads and tells all what it read, and the others' pauses begin anew. When
/// its word does not come, the next ones read, a little later each; when none
/// of these is heard, as on the far side of a cut, whichever draws the shortest
/// pause. So about one call a pause does for any number of nodes.
///
/// Pauses drawn evenly were tried: with 195 nodes about twenty end before the
/// first one's word has come, and the list was read 75 times a second. The
/// draw of those that have no place among the first follows a truncated
/// exponential instead, of which one or two come early at any number.
/// Reference: J. Nonnenmacher, E. Biersack, "Scalable feedback for large
/// groups", IEEE/ACM Transactions on Networking 7(3), 1999.
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

    /// @returns when this node reads next
    instant due(reader_place const& by) const;
    /// @returns where it reads on
    std::uint64_t next() const noexcept { return next_; }

private:
    duration longest_;
    std::uint64_t next_ = 0;
    bool known_ = false;
    bool gap_ = false;
    instant since_;
};

} // namespace camphorpoint
