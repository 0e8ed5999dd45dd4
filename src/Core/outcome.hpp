#pragma once

#include <string_view>

namespace camphorpoint {

/// What became of a request. The three are never blurred.
enum class outcome {
    /// The whole answer was delivered.
    done,
    /// No byte of the request can have reached an endpoint.
    not_run,
    /// The request may have run, in part or whole.
    unknown
};

/// Why a request was refused, retried or given up. The codes are stable: they
/// stand in answers, in counters and in docs/OPERATING.md.
enum class reason {
    none,
    bad_request,
    request_too_large,
    unknown_profile,
    deadline_invalid,
    deadline_passed,
    deadline_unreachable,
    queue_full,
    limit_reached,
    retry_budget_empty,
    no_endpoint,
    not_loaded,
    load_failed,
    wrong_version,
    draining,
    not_ready,
    configuration_stale,
    owner_unreachable,
    grant_expired,
    endpoint_unreachable,
    endpoint_failed,
    answer_cut,
    answer_mismatch,
    late_answer,
    key_reused,
    key_too_new,
    key_too_old,
    key_unknown_after_takeover,
    key_table_full,
    key_invalid,
    key_answer_dropped,
    key_clock_disagrees,
    key_entry_lost,
    already_running,
    caller_gone,
    content_held,
    internal_error
};

/// @returns the outcome's code as callers see it: done, not-run, unknown
std::string_view to_string(outcome value) noexcept;
/// @returns the reason's stable code, in kebab case
std::string_view to_string(reason value) noexcept;

} // namespace camphorpoint
