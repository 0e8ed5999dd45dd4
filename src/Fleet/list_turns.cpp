#include "Fleet/list_turns.hpp"

#include <cmath>

namespace camphorpoint {

namespace {

/// The first node reads after this part of the longest pause. The earlier, the
/// more calls; the later, the less is left for the next ones when it is gone.
constexpr double least_part = 0.6;
/// So many nodes read in their order. More than one of them at a time may be
/// stopped, and a failure domain that is cut off may hold one of them or none.
constexpr std::size_t first_readers = 6;
/// Each gives the ones before it this part of the longest pause: 20 to 40 ms,
/// in which a list is read and told of.
constexpr double part_of_rank = 0.035;
/// The others come after the last of these.
constexpr double others_part = least_part + part_of_rank * first_readers;

/// @returns 0 to 1, mostly near 1: of all nodes about one comes first
double late_draw(reader_place const& by) {
    double const steepness = std::log(static_cast<double>(by.nodes)) + 1;
    return std::log(by.draw * (std::exp(steepness) - 1) + 1) / steepness;
}

} // namespace

void list_turns::was_read(std::uint64_t next, instant now) {
    next_ = next;
    known_ = true;
    gap_ = false;
    since_ = now;
}

list_word list_turns::heard(std::uint64_t from, std::uint64_t to, instant now) {
    if (!known_ || to < next_) {
        return list_word::old;
    }
    if (from > next_) {
        gap_ = true;
        return list_word::gap;
    }
    bool const fresh = to > next_;
    next_ = to;
    since_ = now;
    gap_ = false;
    return fresh ? list_word::applies : list_word::old;
}

instant list_turns::due(reader_place const& by) const {
    if (gap_) {
        return since_;
    }
    double const part =
        by.rank < first_readers
            ? least_part + part_of_rank * static_cast<double>(by.rank)
            : others_part + (1 - others_part) * late_draw(by);
    return since_ + std::chrono::duration_cast<duration>(longest_ * part);
}

} // namespace camphorpoint
