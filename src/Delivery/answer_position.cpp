#include "Delivery/answer_position.hpp"

namespace camphorpoint {

event_fit answer_position::take(whole_event const& event) {
    if (event.blank) {
        return event_fit::next;
    }
    bool const numbered = event.number.has_value();
    if (resumable_ && (numbered ? unnumbered_ : last_.has_value())) {
        return event_fit::no_place;
    }
    if (resumable_ && last_ && numbered && *event.number <= *last_) {
        return event_fit::repeated;
    }
    if (resumable_ && last_ && numbered && *event.number != *last_ + 1) {
        return event_fit::no_place;
    }
    last_ = numbered ? event.number : last_;
    unnumbered_ = unnumbered_ || !numbered;
    half_event_ = false;
    return event_fit::next;
}

stream_end answer_position::judge_end(event_run const& run, bool framed) const {
    if (run.half_bytes() > 0 || (half_event_ && run.empty())) {
        return stream_end::cut;
    }
    if (framed || !may_resume()) {
        return stream_end::whole;
    }
    // A run that went on behind the last event and had nothing to add.
    bool const nothing_more = run.empty() && last_.has_value();
    return nothing_more ? stream_end::whole : stream_end::unproven;
}

} // namespace camphorpoint
