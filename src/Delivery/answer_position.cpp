#include "Delivery/answer_position.hpp"

namespace camphorpoint {

event_fit answer_position::take(whole_event const& event) {
    if (event.comment) {
        return event_fit::next;
    }
    bool const numbered = event.number.has_value();
    if (numbered ? unnumbered_ : last_.has_value()) {
        return event_fit::no_place;
    }
    if (!numbered) {
        unnumbered_ = true;
        return event_fit::next;
    }
    if (last_ && *event.number <= *last_) {
        return event_fit::repeated;
    }
    if (last_ && *event.number != *last_ + 1) {
        return event_fit::no_place;
    }
    last_ = event.number;
    return event_fit::next;
}

} // namespace camphorpoint
