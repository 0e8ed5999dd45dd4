#include "Gateway/store_watch.hpp"

#include <utility>

namespace camphorpoint {

store_watch::store_watch(
    gateway_beliefs& beliefs, std::function<void()> came_back)
    : beliefs_(&beliefs)
    , came_back_(std::move(came_back)) {}

void store_watch::answered() {
    instant const now = boot_clock::now();
    last_answer_ = now;
    if (beliefs_->store_lost_since == instant::max()) {
        return;
    }
    beliefs_->note(log_line(event_code::dependency_regained)
                       .with("what", "store")
                       .with("out_ms", now - beliefs_->store_lost_since));
    beliefs_->store_lost_since = instant::max();
    beliefs_->store_back = now;
    came_back_();
}

void store_watch::failed(
    platform::store_topic topic, instant began,
    platform::store_reading const& seen, platform::store_failure why) {
    bool const cut = why == platform::store_failure::no_answer && seen.begun();
    bool const lost = beliefs_->store_lost_since != instant::max();
    // Guards against a reading that is cut on a full way being taken for an
    // outage of the store: entries that end in an outage are kept for a while,
    // so a replica that has left would get requests. A store that has answered
    // since the reading began, or has begun to answer it, is there.
    if (lost || cut || last_answer_ >= began) {
        return;
    }
    beliefs_->store_lost_since = boot_clock::now();
    beliefs_->note(log_line(event_code::dependency_lost, log_level::warning)
                       .with("what", "store")
                       .with("call", to_string(topic)));
}

void note_reading(
    gateway_beliefs& beliefs, platform::store_topic topic, std::string_view how,
    std::uint64_t from, instant began, platform::store_reading const& seen,
    platform::store_result<platform::keyed_batch> const& brought) {
    // A wait that has brought nothing is no news.
    if (brought && brought.value().records.empty() &&
        brought.value().unreadable == 0) {
        return;
    }
    if (seen.cancelled()) {
        return;
    }
    log_level const level = brought ? log_level::info : log_level::warning;
    std::size_t const records = brought ? brought.value().records.size() : 0;
    unsigned const unreadable = brought ? brought.value().unreadable : 0;
    beliefs.note(
        log_line(event_code::records_read, level)
            .with("topic", to_string(topic))
            .with("how", how)
            .with("from", from)
            .with("records", records)
            .with("unreadable", unreadable)
            .with("bytes", seen.bytes())
            .with("took_ms", boot_clock::now() - began)
            .with("end", brought ? "answered" : to_string(brought.error())));
}

} // namespace camphorpoint
