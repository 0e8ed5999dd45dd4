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

constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

/// Word of the nodes that count comes within this, or is lost.
constexpr milliseconds word_of_counts{20};

/// While another run of the content is under way.
constexpr milliseconds gate_pause{50};

/// @returns a name that is another one after each start of the replica
std::uint64_t start_name(endpoint_id const& id, fleet const& replicas) {
    std::uint64_t const name = fleet::id_hash(id);
    replica const* const at = replicas.find(id);
    if (at == nullptr || !at->record.started_at) {
        return name;
    }
    auto const born = at->record.started_at->time_since_epoch().count();
    return combine_hashes(name, static_cast<std::uint64_t>(born));
}

} // namespace

void request_handler::note_evidence(endpoint_id const& at, attempt_end end) {
    replica* const target = state_->replicas.find(at);
    if (target == nullptr || leaving_->gone) {
        return;
    }
    instant const now = boot_clock::now();
    health_signal evidence = health_signal::answered;
    if (end == attempt_end::silent || end == attempt_end::unreached) {
        evidence = health_signal::no_response;
    } else if (end == attempt_end::broken) {
        evidence = health_signal::truncated;
    } else if (end == attempt_end::failed || end == attempt_end::late) {
        evidence = health_signal::failed;
    }
    if (target->health.add_outcome(evidence, now)) {
        duration const rest = target->health.suspected_until() - now;
        state_->log_event(
            log_line(event_code::replica_suspected, log_level::warning)
                .with("replica", at.str())
                .with("rest_ms", rest));
        messenger_->broadcast_suspicion(*target, rest);
    }
}

// Guards against a request that has ended its third replica and is sent on to
// the next one while the nodes that count it are about to say so.
asio::awaitable<void> request_handler::hear_counts() {
    asio::steady_timer timer(state_->io, word_of_counts);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

// Guards against requests of one content that go out side by side while nobody
// knows yet that it ends its replicas; see request_gate.
asio::awaitable<bool> request_handler::pass_gate(endpoint_id at) {
    auto const caller = leaving_;
    if (!messenger_->requires_admission(content_, boot_clock::now())) {
        co_return true;
    }
    std::uint64_t const run =
        combine_hashes(hash_text(demand_.id.str()), tries_);
    bool const begins = co_await messenger_->request_admission(content_, run);
    if (!begins) {
        asio::steady_timer timer(state_->io, gate_pause);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        co_return false;
    }
    gate_run_ = run;
    replica const* const still = state_->replicas.find(at);
    bool const usable = still != nullptr && still->accepts_requests() &&
                        !caller->gone && !refuse_held();
    if (!usable) {
        leave_gate(attempt_end::unreached);
    }
    co_return usable;
}

void request_handler::prove_content() {
    if (gate_run_) {
        gate_run_.reset();
        messenger_->report_progress(content_);
    }
}

void request_handler::leave_gate(attempt_end end) {
    bool const answered = end == attempt_end::failed ||
                          (end == attempt_end::finished && !leaving_->gone);
    if (answered) {
        prove_content();
    } else if (gate_run_) {
        messenger_->report_attempt_ended(content_, *gate_run_);
        gate_run_.reset();
    }
}

bool request_handler::note_content(endpoint_id const& at, attempt_end end) {
    // A caller that has left breaks its own run off. A replica that answers
    // what is no good goes on.
    if (end == attempt_end::broken && trace_.broke_off && !leaving_->gone) {
        return messenger_->report_crash(
            content_, start_name(at, state_->replicas));
    }
    constexpr int first_redirect = 300;
    bool const whole = ended_ && ledger_.phase() == attempt_phase::completed &&
                       status_ < first_redirect;
    if (whole) {
        messenger_->report_completion(content_);
    }
    return false;
}

void request_handler::note_attempt(endpoint_id const& at, attempt_end end) {
    constexpr std::string_view names[] = {"finished", "refused", "unreached",
                                          "failed",   "silent",  "broken",
                                          "unproven", "late"};
    state_->log_event(log_line(event_code::attempt_ended)
                          .with("id", demand_.id.str())
                          .with("replica", at.str())
                          .with("end", names[static_cast<std::size_t>(end)])
                          .with("may_run", static_cast<int>(ledger_.may_run()))
                          .with("after", trace_.after)
                          .with("events", position_.last().value_or(0))
                          .with("body", trace_.body)
                          .with("half_bytes", trace_.half_bytes));
}

milliseconds request_handler::come_back() const {
    // Long enough for a load, short enough that one more try fits.
    constexpr milliseconds one_load{400};
    if (held_for_) {
        return std::chrono::ceil<milliseconds>(*held_for_);
    }
    auto const forecast = std::chrono::duration_cast<milliseconds>(
        soonest_.value_or(duration::zero()));
    return std::max(one_load, forecast);
}

http_response request_handler::final_answer() {
    http_request const& request = exchange_->request();
    if (status_ == status_not_found) {
        return platform::own_answer(status_, request, std::nullopt);
    }
    if (failure_) {
        return std::move(*failure_);
    }
    if (!ledger_.may_run()) {
        return platform::own_answer(status_unavailable, request, come_back());
    }
    bool const late = boot_clock::now() >= deadline_;
    int const status = late ? status_gateway_timeout : status_bad_gateway;
    return platform::own_answer(status, request, std::nullopt);
}

void request_handler::note_end(std::string_view reason) {
    state_->metrics.count_request(leaving_->gone ? "caller-gone" : reason);
    duration const first =
        first_sent_ == instant{} ? duration::zero() : first_sent_ - arrived_;
    state_->log_event(log_line(event_code::request_ended)
                          .with("id", demand_.id.str())
                          .with("first_ms", first)
                          .with("pause_ms", longest_pause_)
                          .with("route", route_ ? route_->name : "")
                          .with("reason", reason)
                          .with("status", status_)
                          .with("whole", static_cast<int>(ended_))
                          .with("may_run", static_cast<int>(ledger_.may_run()))
                          .with("sends", ledger_.sends())
                          .with("took_ms", boot_clock::now() - arrived_));
}

asio::awaitable<void> request_handler::finish(std::string_view why) {
    auto const caller = leaving_;
    std::string const reason(why);
    if (!ended_ && !caller->gone && !begun_) {
        http_response answer = final_answer();
        status_ = answer.status;
        ended_ = co_await exchange_->respond(std::move(answer));
    }
    note_end(reason);
}

} // namespace camphorpoint
