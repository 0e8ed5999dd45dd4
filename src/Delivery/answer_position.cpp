#include "Delivery/answer_position.hpp"

namespace camphorpoint {

event_fit answer_position::take(whole_event const& event) {
    if (event.number && *event.number <= last_) {
        return event_fit::repeated;
    }
    if (event.number && any_ && *event.number != last_ + 1) {
        return event_fit::gap;
    }
    last_ = event.number.value_or(last_);
    any_ = true;
    return event_fit::next;
}

} // namespace camphorpoint
