#include "Gateway/request_handler.hpp"

#include <string>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;

// Guards against a stream whose events come from two software versions: what
// they write does not fit together, and replicas do not check it.
asio::awaitable<bool> request_handler::resolve_stream_origin() {
    auto const caller = caller_;
    if (!route_->resumable || !demand_.last_event) {
        co_return true;
    }
    if (relayed_) {
        // The entry node has resolved it.
        need_.software = relayed_->software;
        reason_ = "stream-unknown";
        co_return need_.software.has_value();
    }
    instant const began = boot_clock::now();
    auto const view_age = state_->software.view_age(began);
    stream_resumption const found = co_await messenger_->find_stream_origin(
        stream_, service_id(need_.service));
    need_.software = found.choice.software;
    bool const known = need_.software.has_value();
    state_->metrics.count_resumption(known ? "known" : "unknown");
    log_line line(event_code::stream_resumed);
    line.with("id", demand_.id.str())
        .with("resumes", demand_.resumes.str())
        .with("known", known ? 1 : 0)
        .with("by", name_of(found.choice.source))
        .with("observed_ms", state_->software.observed_for(began));
    if (view_age) {
        line.with("view_ms", *view_age);
    }
    line.with("asked", found.asked)
        .with("answered", found.answered)
        .with("confirmed", found.confirmed ? 1 : 0)
        .with("waited_ms", boot_clock::now() - began);
    state_->log_event(line);
    if (!known) {
        reason_ = "stream-unknown";
        refusal_retry_after_ = duration::zero();
    }
    co_return known;
}

void request_handler::note_stream_event(forwarded_attempt const& attempt) {
    if (!route_->resumable) {
        return;
    }
    need_.software = attempt.software;
    // A peer has recorded the stream that it relays.
    if (!origin_recorded_ && !attempt.relayed()) {
        origin_recorded_ = true;
        messenger_->record_stream(need_.service, {stream_, *attempt.software});
    }
}

std::string_view request_handler::no_replica_reason() {
    if (!need_.software) {
        return "no-replica";
    }
    // The caller may begin the stream anew at another software version.
    refusal_retry_after_ = duration::zero();
    return "software-gone";
}

} // namespace camphorpoint
