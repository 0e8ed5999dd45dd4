#include "Delivery/delivery_position.hpp"

namespace camphorpoint {

event_continuity delivery_position::accept(complete_event const& event) {
    if (event.blank) {
        return event_continuity::next;
    }
    bool const numbered = event.number.has_value();
    if (resumable_ && (numbered ? has_unnumbered_ : last_.has_value())) {
        return event_continuity::out_of_sequence;
    }
    if (resumable_ && last_ && numbered && *event.number <= *last_) {
        return event_continuity::duplicate;
    }
    if (resumable_ && last_ && numbered && *event.number != *last_ + 1) {
        return event_continuity::out_of_sequence;
    }
    last_ = numbered ? event.number : last_;
    has_unnumbered_ = has_unnumbered_ || !numbered;
    truncated_event_ = false;
    return event_continuity::next;
}

stream_end delivery_position::classify_end(
    attempt_stream const& attempt, bool length_known) const {
    // A stream has an event at least.
    bool const nothing_began =
        !length_known && attempt.empty() && !last_ && !has_unnumbered_;
    if (attempt.incomplete_bytes() > 0 || nothing_began ||
        (truncated_event_ && attempt.empty())) {
        return stream_end::truncated;
    }
    if (length_known || !may_resume()) {
        return stream_end::complete;
    }
    // The attempt resumed after the last event and had no further event.
    bool const nothing_more = attempt.empty() && last_.has_value();
    return nothing_more ? stream_end::complete : stream_end::unconfirmed;
}

} // namespace camphorpoint
