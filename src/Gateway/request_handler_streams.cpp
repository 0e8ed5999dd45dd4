#include "Gateway/request_handler.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Covers the time in which a request travels and waits to be read.
constexpr milliseconds stream_age_margin{2'000};

} // namespace

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
    stream_resumption const found = co_await messenger_->find_stream_origin(
        stream_, service_id(need_.service), max_stream_age());
    need_.software = found.software;
    bool const known = found.software.has_value();
    state_->metrics.count_resumption(known ? "known" : "unknown");
    state_->log_event(log_line(event_code::stream_resumed)
                          .with("id", demand_.id.str())
                          .with("resumes", demand_.resumes.str())
                          .with("known", known ? 1 : 0)
                          .with("asked", found.asked)
                          .with("answered", found.answered)
                          .with("waited_ms", boot_clock::now() - began));
    if (!known) {
        reason_ = "stream-unknown";
        refusal_retry_after_ = duration::zero();
    }
    co_return known;
}

void request_handler::note_patience() {
    if (demand_.patience && !demand_.last_event) {
        milliseconds& longest = state_->longest_patience[route_->name];
        longest = std::max(longest, *demand_.patience);
    }
}

duration request_handler::max_stream_age() const {
    milliseconds const lifetime = state_->settings.stream_lifetime;
    if (!demand_.patience) {
        return lifetime;
    }
    // The caller has waited for the rest of its patience since the stream's
    // first request.
    auto const longest = state_->longest_patience.find(route_->name);
    milliseconds const patience =
        longest == state_->longest_patience.end()
            ? route_->timeout
            : std::max(route_->timeout, longest->second);
    milliseconds const waited = patience - *demand_.patience;
    return std::min(
        lifetime, std::max(waited, milliseconds(0)) + stream_age_margin);
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
