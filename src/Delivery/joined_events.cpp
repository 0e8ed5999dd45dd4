#include "Delivery/joined_events.hpp"

namespace camphorpoint {

joined_events join_events(event_run& run, answer_position position) {
    joined_events result{{}, position};
    while (auto const event = run.next()) {
        event_fit const fit = result.position.take(*event);
        if (fit == event_fit::no_place) {
            result.joined = false;
            return result;
        }
        if (fit == event_fit::next) {
            result.text += event->text;
        }
    }
    result.joined = !run.too_long();
    return result;
}

} // namespace camphorpoint
