#include "Delivery/joined_events.hpp"

namespace camphorpoint {

joined_events join_events(attempt_stream& attempt, delivery_position position) {
    joined_events result{{}, 0, position};
    while (auto const event = attempt.next()) {
        event_continuity const fit = result.position.accept(*event);
        if (fit == event_continuity::out_of_sequence) {
            result.joined = false;
            return result;
        }
        if (fit == event_continuity::next) {
            result.text += event->text;
            result.count += event->blank ? 0 : 1;
        }
    }
    result.joined = !attempt.too_long();
    return result;
}

} // namespace camphorpoint
