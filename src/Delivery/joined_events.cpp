#include "Delivery/joined_events.hpp"

namespace camphorpoint {

joined_events join_events(attempt_stream& attempt, delivery_position position) {
    joined_events result{{}, position};
    while (auto const event = attempt.next()) {
        event_continuity const fit = result.position.accept(*event);
        if (fit == event_continuity::out_of_sequence) {
            result.joined = false;
            return result;
        }
        if (fit == event_continuity::next) {
            result.text += event->text;
        }
    }
    result.joined = !attempt.too_long();
    return result;
}

} // namespace camphorpoint
