#include "Core/hash.hpp"
#include "Gateway/request_handler.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

/// Messages from the nodes that count crashes arrive within this time or are
/// lost.
constexpr milliseconds crash_report_wait{20};

/// Delay before the next request for admission, while another attempt of the
/// same request is in progress.
constexpr milliseconds gate_retry_delay{50};

/// @returns a hash that identifies the replica and its current process start
std::uint64_t incarnation_hash(endpoint_id const& id, fleet const& replicas) {
    std::uint64_t const name = fleet::id_hash(id);
    replica const* const at = replicas.find(id);
    if (at == nullptr || !at->record.started_at) {
        return name;
    }
    auto const start_time = at->record.started_at->time_since_epoch().count();
    return combine_hashes(name, static_cast<std::uint64_t>(start_time));
}

} // namespace

std::optional<attempt_report> request_handler::make_attempt_report(
    forwarded_attempt const& attempt, attempt_outcome end) const {
    // A replica that is not the one meant has shown nothing about that one.
    bool const misdirected =
        end == attempt_outcome::refused && !attempt.trace.rejected;
    if (caller_->gone || caller_->ended || misdirected ||
        end == attempt_outcome::superseded) {
        return std::nullopt;
    }
    health_signal evidence = health_signal::answered;
    if (end == attempt_outcome::silent || end == attempt_outcome::stalled ||
        end == attempt_outcome::unreached) {
        evidence = health_signal::no_response;
    } else if (
        end == attempt_outcome::broken ||
        (end == attempt_outcome::failed && attempt.call->invalid())) {
        // Nothing that the replica sends can be used, as after a crash.
        evidence = health_signal::truncated;
    } else if (end == attempt_outcome::failed) {
        evidence = health_signal::failed;
    } else if (attempt.trace.rejected || end == attempt_outcome::late) {
        // A rejected request uses no capacity, so a replica that rejects would
        // seem to have more of it than its peers. A request whose deadline has
        // passed may have waited for room, too.
        evidence = health_signal::rejected;
    }
    return attempt_report{
        evidence, demand_.prompt_tokens, attempt.timing.first_output(),
        attempt.timing.event_interval(), attempt.probe};
}

void request_handler::record_health(
    forwarded_attempt const& attempt, attempt_report const& report) {
    replica* const target = state_->replicas.find(attempt.replica);
    if (target == nullptr) {
        return;
    }
    instant const now = boot_clock::now();
    if (target->health.add_outcome(report.signal, now)) {
        duration const suspected_for = target->health.suspected_until() - now;
        state_->log_event(
            log_line(event_code::replica_suspected, log_level::warning)
                .with("replica", attempt.replica.str())
                .with("rest_ms", suspected_for));
        // Guards against replicas that no node uses since this one has lost its
        // own links to them.
        if (!state_->reachability.in_doubt(now)) {
            messenger_->broadcast_suspicion(*target, suspected_for);
        }
    }
}

// Guards against a request that has crashed its third replica and is sent on to
// the next one while the nodes that count its crashes are about to report the
// quarantine.
asio::awaitable<void> request_handler::await_crash_reports() {
    asio::steady_timer timer(state_->io, crash_report_wait);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

// Guards against parallel attempts of a request while no node knows yet that it
// crashes its replicas; see request_gate.
asio::awaitable<bool> request_handler::enter_gate(endpoint_id at) {
    auto const caller = caller_;
    if (!messenger_->requires_admission(fingerprint_, boot_clock::now())) {
        co_return true;
    }
    std::uint64_t const attempt_id =
        combine_hashes(hash_text(demand_.id.str()), attempts_);
    bool const admitted =
        co_await messenger_->request_admission(fingerprint_, attempt_id);
    if (!admitted) {
        asio::steady_timer timer(state_->io, gate_retry_delay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        co_return false;
    }
    gate_attempt_ = attempt_id;
    replica const* const current = state_->replicas.find(at);
    bool const usable = current != nullptr && current->accepts_requests() &&
                        !caller->gone && !refuse_quarantined();
    if (!usable) {
        leave_gate(attempt_outcome::unreached);
    }
    co_return usable;
}

void request_handler::report_first_output() {
    if (gate_attempt_) {
        gate_attempt_.reset();
        messenger_->report_progress(fingerprint_);
    }
}

void request_handler::note_output(forwarded_attempt& attempt) {
    // A peer reports the output of its own attempts.
    if (!attempt.trace.has_output && !attempt.relayed()) {
        attempt.trace.has_output = true;
        messenger_->report_output(parts_);
    }
}

void request_handler::leave_gate(attempt_outcome end) {
    bool const answered = end == attempt_outcome::failed ||
                          (end == attempt_outcome::finished && !caller_->gone);
    if (answered) {
        report_first_output();
    } else if (gate_attempt_) {
        messenger_->report_attempt_ended(fingerprint_, *gate_attempt_);
        gate_attempt_.reset();
    }
}

bool request_handler::report_outcome(
    forwarded_attempt const& attempt, attempt_outcome end) {
    // A caller that disconnects ends its own attempt, and a replica that sends
    // an invalid answer keeps running. Neither counts as a crash.
    if (end == attempt_outcome::broken && attempt.trace.broke_off &&
        !caller_->gone) {
        if (attempt.trace.has_output) {
            // Most streams that a crash breaks off have not caused it. One that
            // has crashes the next replica before it has further output.
            return false;
        }
        std::uint64_t const process =
            incarnation_hash(attempt.replica, state_->replicas);
        messenger_->report_part_crash(
            parts_, fingerprint_, process, attempt.began_at);
        return messenger_->report_crash(fingerprint_, process);
    }
    constexpr int first_redirect = 300;
    bool const succeeded =
        response_complete_ && attempt.completed && status_ < first_redirect;
    if (succeeded) {
        messenger_->report_completion(fingerprint_);
    }
    return false;
}

void request_handler::log_attempt(
    forwarded_attempt const& attempt, attempt_outcome end) {
    constexpr std::string_view names[] = {
        "finished", "refused", "unreached", "failed",     "silent", "broken",
        "unproven", "late",    "stalled",   "superseded", "ended"};
    attempt_trace const& trace = attempt.trace;
    http_call const& call = *attempt.call;
    state_->metrics.count_untrusted_answers("stray", call.strays());
    std::string_view const body = call.invalid() ? "invalid" : trace.body;
    log_line line(event_code::attempt_ended);
    line.with("id", demand_.id.str())
        .with("replica", attempt.replica.str())
        .with("peer", attempt.peer)
        .with("end", names[static_cast<std::size_t>(end)])
        .with("status", trace.status)
        .with("connection", call.connection())
        .with("kept", call.reused() ? 1 : 0)
        .with("named", call.names_request() ? 1 : 0)
        .with("stated", trace.states_not_run ? 1 : 0)
        .with("strays", call.strays())
        .with("may_run", static_cast<int>(tracker_.may_run()))
        .with("after", attempt.after_event.value_or(0))
        .with("events", position_.last().value_or(0))
        .with("body", body)
        .with("half_bytes", attempt.stream.incomplete_bytes())
        .with("silent_ms", trace.silence)
        .with("rest_ms", trace.rest);
    if (trace.head_after) {
        line.with("head_ms", *trace.head_after);
    }
    add_stop_time(line, attempt.began_at);
    add_heard_time(line, attempt.replica);
    state_->log_event(line);
}

milliseconds request_handler::retry_after() const {
    // Long enough for a load, and short enough for the caller to retry once
    // more in time.
    constexpr milliseconds min_retry_after{400};
    if (quarantined_for_) {
        return std::chrono::ceil<milliseconds>(*quarantined_for_);
    }
    if (refusal_retry_after_) {
        return std::chrono::ceil<milliseconds>(*refusal_retry_after_);
    }
    auto const forecast = std::chrono::duration_cast<milliseconds>(
        earliest_ready_in_.value_or(duration::zero()));
    return std::max(min_retry_after, forecast);
}

http_response request_handler::final_answer() {
    http_request const& request = exchange_->request();
    if (rejection_status_ != 0) {
        auto const wait = refusal_retry_after_ ? std::optional(retry_after())
                                               : std::optional<milliseconds>();
        return platform::own_answer(rejection_status_, request, wait);
    }
    if (failure_response_) {
        return std::move(*failure_response_);
    }
    if (!tracker_.may_run()) {
        return platform::own_answer(status_unavailable, request, retry_after());
    }
    bool const late = boot_clock::now() >= deadline_;
    int const status = late ? status_gateway_timeout : status_bad_gateway;
    return platform::own_answer(status, request, std::nullopt);
}

void request_handler::add_stop_time(log_line& line, instant when) const {
    if (state_->shutdown.begun()) {
        line.with("stop_ms", when - state_->shutdown.began_at());
    }
}

void request_handler::add_heard_time(
    log_line& line, endpoint_id const& from) const {
    replica const* const target = std::as_const(state_->replicas).find(from);
    if (target != nullptr && target->heard_at) {
        line.with("heard_ms", boot_clock::now() - *target->heard_at);
    }
}

void request_handler::log_completion(std::string_view reason) {
    // A relayed request is counted by the reason at its entry node.
    std::string_view const counted = relayed_ ? "relayed" : reason;
    state_->metrics.count_request(caller_->gone ? "caller-gone" : counted);
    duration const first = first_sent_at_ == instant{}
                               ? duration::zero()
                               : first_sent_at_ - arrived_at_;
    log_line line(event_code::request_ended);
    line.with("id", demand_.id.str())
        .with("first_ms", first)
        .with("pause_ms", longest_pause_)
        .with("route", route_ ? route_->name : "")
        .with("reason", reason)
        .with("status", status_)
        .with("whole", static_cast<int>(response_complete_))
        .with("may_run", static_cast<int>(tracker_.may_run()))
        .with("sends", tracker_.sends())
        .with("stalls", stalls_)
        .with("took_ms", boot_clock::now() - arrived_at_);
    add_stop_time(line, arrived_at_);
    state_->log_event(line);
}

asio::awaitable<void> request_handler::finish(std::string_view why) {
    auto const caller = caller_;
    std::string const reason(why);
    return_unused_usage();
    // The node that has relayed a request resends it when it is idempotent and
    // the connection ends, but not after an answer.
    bool const stopping = caller->ended || refused_in_shutdown_;
    bool const left_open = relayed_ && stopping && tracker_.may_run();
    if (!response_complete_ && !caller->gone && !response_started_ &&
        !left_open) {
        http_response answer = final_answer();
        status_ = answer.status;
        if (relayed_ && !tracker_.may_run()) {
            answer.fields.add(
                std::string(platform::relay_field),
                std::string(declined_ ? relay_declined : relay_refused));
        }
        response_complete_ = co_await exchange_->respond(std::move(answer));
    }
    log_completion(reason);
}

} // namespace camphorpoint
