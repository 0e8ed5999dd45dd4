#include "Gateway/request_handler.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cassert>
#include <exception>
#include <string>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);

/// While a stream is stalled and no other attempt is possible, this is checked
/// again at this interval.
constexpr milliseconds stalled_search_interval{300};

/// Whether an attempt has stalled is checked at this interval, or sooner.
constexpr milliseconds stall_check_interval{300};

/// A timer that is later than this shows that the node itself stood still, and
/// what its replicas have sent meanwhile is not read yet.
constexpr milliseconds longest_timer_delay{100};
/// Time in which a node reads what has arrived while it stood still.
constexpr milliseconds catch_up_time{50};

} // namespace

asio::awaitable<attempt_outcome>
request_handler::make_attempt(attempt_ref attempt, ip_address to) {
    auto const caller = caller_;
    if (!idempotent_) {
        // No other attempt may replace it.
        co_return co_await send_attempt(attempt, std::move(to));
    }
    attempt->begin_wait(attempt->began_at);
    asio::co_spawn(
        state_->io.get_executor(), carry_out(attempt, std::move(to)),
        asio::detached);
    co_return co_await await_end(attempt);
}

asio::awaitable<void>
request_handler::carry_out(attempt_ref attempt, ip_address to) {
    auto const caller = caller_;
    attempt_outcome end = attempt_outcome::failed;
    try {
        end = co_await send_attempt(attempt, std::move(to));
    } catch (std::exception const&) {
        attempt->failure = std::current_exception();
    }
    if (end == attempt_outcome::finished) {
        // An attempt that was to replace this one is no longer needed.
        caller->cancel_calls();
    }
    attempt->set_end(end);
}

attempt_progress
request_handler::progress_of(forwarded_attempt const& attempt) const {
    replica const* const at =
        std::as_const(state_->replicas).find(attempt.replica);
    return {
        attempt.begun(), attempt.end.has_value(), attempt.waiting_since,
        state_->replicas.heard_before(attempt.replica, attempt.serial),
        at != nullptr && at->silent_since_stall()};
}

request_bounds request_handler::bounds() const {
    request_bounds result{
        deadline_, route_->objective, std::nullopt, state_->shutdown};
    auto const known = state_->answer_times.find(need_.service);
    if (known != state_->answer_times.end()) {
        result.usual_head = known->second.longest_usual();
    } else if (route_->kind == route_kind::streaming) {
        result.usual_head = stream_idle_timeout;
    }
    return result;
}

std::optional<instant>
request_handler::stall_time(forwarded_attempt const& attempt) const {
    // Two attempts are in progress at most: one that replaces another is not
    // replaced. A node that may have lost its links knows nothing of replicas.
    bool const replaces = stalled_ && stalled_.get() != &attempt;
    bool const in_doubt = state_->reachability.in_doubt(boot_clock::now());
    if (!attempt.begun() && (replaces || in_doubt)) {
        return std::nullopt;
    }
    return stalls_at(progress_of(attempt), bounds());
}

asio::awaitable<attempt_outcome>
request_handler::await_end(attempt_ref attempt) {
    auto const caller = caller_;
    // When the node will have read what arrived while it stood still.
    instant caught_up_at{};
    instant checked_at = boot_clock::now();
    while (!attempt->end) {
        instant const now = boot_clock::now();
        bool const stood_still = now >= checked_at + longest_timer_delay;
        if (stood_still) {
            caught_up_at = now + catch_up_time;
        }
        // Another attempt may show before that its replica is silent.
        instant const check_at = now + stall_check_interval;
        instant const stall =
            std::max(stall_time(*attempt).value_or(check_at), caught_up_at);
        if (now >= stall) {
            co_return attempt_outcome::stalled;
        }
        checked_at = std::min(stall, check_at);
        attempt->changed.expires_after(time_until(checked_at));
        co_await attempt->changed.async_wait(use_result);
    }
    if (attempt->failure) {
        std::rethrow_exception(attempt->failure);
    }
    co_return *attempt->end;
}

// Guards against replicas that are avoided since a single request takes long
// there.
bool request_handler::owes_several_answers(
    forwarded_attempt const& attempt) const {
    replica const* const at =
        std::as_const(state_->replicas).find(attempt.replica);
    return at != nullptr && at->running_local > 1 && attempt.waiting_since &&
           at->heard_at.value_or(instant{}) < *attempt.waiting_since;
}

void request_handler::on_stalled(attempt_ref const& attempt) {
    assert(!stalled_ && "the attempt that writes has replaced the earlier one");
    attempt->stalled = true;
    stalled_ = attempt;
    ++stalls_;
    bool const silent = owes_several_answers(*attempt);
    attempt->shows_silence = silent || attempt->begun();
    if (silent) {
        state_->replicas.mark_stalled(attempt->replica, boot_clock::now());
    }
    if (!attempt->begun()) {
        // Its request may have been sent, and may run.
        tracker_.on_sent(attempt->number);
    }
    auto const report = make_attempt_report(*attempt, attempt_outcome::stalled);
    if (report && attempt->shows_silence) {
        record_health(*attempt, *report);
    }
    leave_gate(attempt_outcome::stalled);
    state_->log_event(
        log_line(event_code::stream_stalled)
            .with("id", demand_.id.str())
            .with("replica", attempt->replica.str())
            .with("stalls", stalls_)
            .with("begun", attempt->begun() ? 1 : 0)
            .with("events", position_.last().value_or(0))
            .with("half_bytes", attempt->stream.incomplete_bytes()));
}

bool request_handler::stall_has_ended() const {
    return stalled_ && stalled_->stall_over();
}

asio::awaitable<request_handler::next_step> request_handler::await_stalled() {
    auto const caller = caller_;
    attempt_ref const attempt = stalled_;
    std::string const refusal = reason_;
    while (!attempt->stall_over()) {
        attempt->changed.expires_after(stalled_search_interval);
        co_await attempt->changed.async_wait(use_result);
        bool const searches = !attempt->stall_over() && !caller->gone &&
                              may_retry(attempt_outcome::stalled);
        if (searches) {
            co_return next_step::search;
        }
        reason_ = refusal;
    }
    stalled_.reset();
    state_->log_event(log_line(event_code::stream_went_on)
                          .with("id", demand_.id.str())
                          .with("replica", attempt->replica.str())
                          .with("instead", refusal)
                          .with("silent_ms", attempt->trace.silence));
    attempt_outcome const end = co_await await_end(attempt);
    co_return co_await after_attempt(attempt, end);
}

bool request_handler::is_overtaken(forwarded_attempt const& attempt) const {
    return stalled_ && stalled_.get() != &attempt &&
           position_.last() != attempt.after_event;
}

void request_handler::cancel_replacement() {
    if (newest_ != stalled_ && !newest_->end) {
        newest_->supersede();
    }
}

bool request_handler::may_replace_stalled(
    forwarded_attempt const& attempt) const {
    if (!stalled_ || stalled_.get() == &attempt) {
        return true;
    }
    // An attempt that only confirms the end of an answer has nothing more to
    // write.
    if (!confirms_end_ &&
        !leaves_time_to_replace(
            progress_of(*stalled_), bounds(), boot_clock::now())) {
        return false;
    }
    if (!response_started_) {
        return true;
    }
    // The stalled attempt may have begun the stream, or gone on with it, since
    // the new one was sent. Events of two runs do not fit together unless the
    // later run begins where the earlier one has ended.
    bool const writes = !stalled_->end && !stalled_->waiting_since;
    return !writes && position_.may_resume() && !is_overtaken(attempt) &&
           need_.software == attempt.software;
}

asio::awaitable<void> request_handler::stop_stalled() {
    auto const caller = caller_;
    attempt_ref const attempt = std::exchange(stalled_, nullptr);
    if (!attempt) {
        co_return;
    }
    bool const ended = attempt->end.has_value();
    if (!ended) {
        attempt->supersede();
    }
    while (!attempt->end) {
        attempt->changed.expires_after(stalled_search_interval);
        co_await attempt->changed.async_wait(use_result);
    }
    attempt_outcome end = *attempt->end;
    if (ended) {
        end = classify_end(*attempt, end);
    } else if (end != attempt_outcome::finished) {
        end = attempt_outcome::superseded;
    }
    conclude(*attempt, end);
}

} // namespace camphorpoint
