#include "Fleet/list_turns.hpp"

namespace camphorpoint {

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

instant list_turns::due(double draw) const {
    if (gap_) {
        return since_;
    }
    double const part = least_part + (1 - least_part) * draw;
    return since_ + std::chrono::duration_cast<duration>(longest_ * part);
}

} // namespace camphorpoint
