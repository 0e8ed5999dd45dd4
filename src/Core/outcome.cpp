#include "Core/outcome.hpp"

namespace camphorpoint {

std::string_view to_string(outcome value) noexcept {
    switch (value) {
    case outcome::done:
        return "done";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view to_string(reason value) noexcept {
    switch (value) {
    case reason::none:
        return "none";
    case reason::bad_request:
        return "bad-request";
    case reason::request_too_large:
        return "request-too-large";
    case reason::unknown_profile:
        return "unknown-profile";
    case reason::deadline_invalid:
        return "deadline-invalid";
    case reason::deadline_passed:
        return "deadline-passed";
    case reason::deadline_unreachable:
        return "deadline-unreachable";
    case reason::queue_full:
        return "queue-full";
    case reason::limit_reached:
        return "limit-reached";
    case reason::retry_budget_empty:
        return "retry-budget-empty";
    case reason::no_endpoint:
        return "no-endpoint";
    case reason::not_loaded:
        return "not-loaded";
    case reason::load_failed:
        return "load-failed";
    case reason::wrong_version:
        return "wrong-version";
    case reason::draining:
        return "draining";
    case reason::not_ready:
        return "not-ready";
    case reason::configuration_stale:
        return "configuration-stale";
    case reason::owner_unreachable:
        return "owner-unreachable";
    case reason::grant_expired:
        return "grant-expired";
    case reason::endpoint_unreachable:
        return "endpoint-unreachable";
    case reason::endpoint_failed:
        return "endpoint-failed";
    case reason::answer_cut:
        return "answer-cut";
    case reason::answer_mismatch:
        return "answer-mismatch";
    case reason::late_answer:
        return "late-answer";
    case reason::key_reused:
        return "key-reused";
    case reason::key_too_new:
        return "key-too-new";
    case reason::key_too_old:
        return "key-too-old";
    case reason::key_unknown_after_takeover:
        return "key-unknown-after-takeover";
    case reason::key_table_full:
        return "key-table-full";
    case reason::key_invalid:
        return "key-invalid";
    case reason::key_answer_dropped:
        return "key-answer-dropped";
    case reason::key_clock_disagrees:
        return "key-clock-disagrees";
    case reason::key_entry_lost:
        return "key-entry-lost";
    case reason::already_running:
        return "already-running";
    case reason::caller_gone:
        return "caller-gone";
    case reason::content_held:
        return "content-held";
    case reason::internal_error:
        return "internal-error";
    }
    return "internal-error";
}

} // namespace camphorpoint
