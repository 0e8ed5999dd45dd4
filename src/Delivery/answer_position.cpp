#include "Delivery/answer_position.hpp"

namespace camphorpoint {

event_fit answer_position::take(whole_event const& event) {
    if (!event.number) {
        return event_fit::next;
    }
    if (last_ && *event.number <= *last_) {
        return event_fit::repeated;
    }
    if (last_ && *event.number != *last_ + 1) {
        return event_fit::gap;
    }
    last_ = event.number;
    return event_fit::next;
}

} // namespace camphorpoint
