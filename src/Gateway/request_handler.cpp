#include "Gateway/request_handler.hpp"

#include "Core/hash.hpp"
#include "Gateway/reachability_prober.hpp"

#include <algorithm>
#include <cassert>
#include <exception>
#include <iterator>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
/// A connection to a replica takes two milliseconds to open. A replica that
/// takes much longer is down or cut off from the network.
constexpr milliseconds connect_timeout{300};
/// Total attempts of one request after which a refusal or a failed connection
/// is not retried. After other failures the route's own limit applies.
constexpr unsigned max_attempts = 4;
/// A replica may close an idle connection without the node noticing. A request
/// that must not run twice can't be resent after that, so it only uses a
/// connection that was active within this time.
constexpr milliseconds max_idle_if_not_idempotent{1'000};

} // namespace

request_handler::request_handler(
    gateway_state& state, peer_messenger& messenger, http_exchange& exchange,
    std::optional<relay_terms> relayed)
    : state_(&state)
    , messenger_(&messenger)
    , exchange_(&exchange)
    , arrived_at_(boot_clock::now())
    , deadline_(arrived_at_)
    , demand_(platform::read_demand(exchange.request()))
    , relayed_(std::move(relayed))
    , counted_(relayed_ && relayed_->counted)
    , resends_(relayed_ ? relayed_->sends : 0)
    , caller_(std::make_shared<caller_state>())
    , live_(state.requests, [state = caller_.get()] {
        state->ended = true;
        state->cancel_calls();
    }) {}

request_handler::~request_handler() {
    // The callback for the caller's disconnection may still run.
    caller_->calls.clear();
    caller_->waiters = nullptr;
}

bool request_handler::resolve_route() {
    http_request const& request = exchange_->request();
    service_route const* const found = state_->routes.find(
        request.fields.get("Host"), path_of(request.target));
    if (found == nullptr) {
        return false;
    }
    // The route is copied because the configuration may change while the
    // request runs.
    route_ = *found;
    idempotent_ = route_->idempotent() && (!relayed_ || relayed_->idempotent);
    route_->resumable = route_->resumable && idempotent_;
    tracker_ = attempt_tracker(idempotent_, relayed_ ? relayed_->sends : 0);
    position_ = delivery_position(demand_.last_event, route_->resumable);
    milliseconds const timeout =
        std::min(demand_.patience.value_or(route_->timeout), route_->timeout);
    deadline_ = arrived_at_ + timeout;
    // A resumed stream stays with the service at which its first request began,
    // although each request has an id of its own.
    request_id const& first =
        demand_.resumes.empty() ? demand_.id : demand_.resumes;
    need_.service = pick_service(*route_, hash_text(first.str()));
    need_.adapter = demand_.adapter;
    stream_ = make_stream_key(first, need_.service, need_.adapter);
    need_.model = demand_.model;
    need_.work = {
        demand_.prompt_tokens, route_->objective, route_->accepted_gap, timeout,
        idempotent_};
    need_.random_sample = state_->random();
    fingerprint_ = fingerprint_request(
        request.method, request.fields.get("Host"), request.target,
        request.body);
    std::ranges::transform(
        demand_.shared_parts, std::back_inserter(parts_),
        [](std::string const& each) { return fingerprint_prompt_part(each); });
    prompt_keys_ = quarantine_keys(parts_);
    return true;
}

void request_handler::record_demand() {
    if (!need_.adapter.empty() && !demand_recorded_) {
        state_->demand.add(need_.adapter, demand_.prompt_tokens, arrived_at_);
    }
    demand_recorded_ = true;
    if (!counted_) {
        counted_ = true;
        state_->resends.on_request(need_.service, boot_clock::now());
    }
}

bool request_handler::admit() {
    if (!state_->may_serve(arrived_at_)) {
        reason_ =
            state_->configured ? "declarations-behind" : "no-configuration";
        declined_ = true;
        return false;
    }
    if (!resolve_route()) {
        // The node that has relayed the request knows its route.
        declined_ = relayed_.has_value();
        rejection_status_ = relayed_ ? 0 : status_not_found;
        reason_ = "no-route";
        return false;
    }
    if (relayed_ && state_->reachability.partitioned()) {
        declined_ = true;
        reason_ = "replicas-unreachable";
        return false;
    }
    return authenticate();
}

asio::awaitable<void> request_handler::run() {
    auto const caller = caller_;
    std::exception_ptr failure;
    try {
        co_await handle();
    } catch (...) {
        failure = std::current_exception();
    }
    // A stalled attempt refers to this object while it is forwarded.
    co_await stop_stalled();
    if (failure) {
        std::rethrow_exception(failure);
    }
}

asio::awaitable<void> request_handler::handle() {
    auto const caller = caller_;
    if (!admit()) {
        co_await finish(reason_);
        co_return;
    }
    state_->log_event(log_line(event_code::request_routed)
                          .with("id", demand_.id.str())
                          .with("route", route_->name)
                          .with("service", need_.service.str())
                          .with("team", team_ ? team_->name.str() : "")
                          .with("content", to_string(fingerprint_))
                          .with("parts", to_string(parts_))
                          .with("version", state_->configuration.version)
                          .with("relayed", relayed_ ? 1 : 0)
                          .with("resumes", demand_.resumes.str())
                          .with("after", demand_.last_event.value_or(0)));
    caller_->waiters = &state_->waiters;
    caller_->adapter = need_.adapter;
    exchange_->on_caller_gone([state = caller] {
        state->gone = true;
        state->cancel_calls();
        if (state->waiters != nullptr) {
            state->waiters->notify(state->adapter);
        }
    });
    if (refuse_in_shutdown()) {
        co_await finish(reason_);
        co_return;
    }
    if (!co_await take_usage()) {
        co_await finish(reason_);
        co_return;
    }
    if (!co_await resolve_stream_origin()) {
        co_await finish(reason_);
        co_return;
    }
    co_await run_attempts();
}

// Guards against a poison request that crashes one replica after another; see
// request_quarantine. The request is refused before it uses capacity or causes
// a load.
bool request_handler::refuse_quarantined() {
    instant const now = boot_clock::now();
    quarantined_for_ = state_->quarantine.quarantined_for(fingerprint_, now);
    if (quarantined_for_) {
        reason_ = "content-held";
        return true;
    }
    return std::ranges::any_of(prompt_keys_, [&](request_fingerprint key) {
        return refuse_quarantined_part(key, now);
    });
}

bool request_handler::refuse_quarantined_part(
    request_fingerprint key, instant now) {
    quarantined_for_ = state_->quarantine.quarantined_for(key, now);
    if (!quarantined_for_ || key == trial_part_) {
        quarantined_for_.reset();
        return false;
    }
    bool const is_part = std::ranges::find(parts_, key) != parts_.end();
    if (is_part && !trial_part_ && messenger_->try_quarantined_part(key)) {
        trial_part_ = key;
        quarantined_for_.reset();
        return false;
    }
    reason_ = "part-held";
    return true;
}

asio::awaitable<void> request_handler::run_attempts() {
    auto const caller = caller_;
    next_step step = next_step::search;
    while (step == next_step::search && !caller->gone) {
        if (stall_has_ended()) {
            step = next_step::give_up;
        } else {
            step = co_await try_once();
        }
        // An attempt that has gone on may stall again.
        while (step == next_step::give_up && stalled_ && !caller->gone) {
            step = co_await await_stalled();
        }
    }
    assert(
        (!stalled_ || caller->gone) &&
        "a request ends only when no attempt of it goes on");
    bool const answered = step == next_step::complete || response_complete_;
    std::string const reason = caller->gone ? "caller-gone"
                               : answered   ? "answered"
                                            : reason_;
    co_await finish(reason);
}

asio::awaitable<request_handler::next_step> request_handler::try_once() {
    auto const caller = caller_;
    if (refuse_in_shutdown() || refuse_quarantined()) {
        co_return next_step::give_up;
    }
    bool const refused = std::exchange(search_failed_, false);
    if (auto const peer = select_relay(refused, boot_clock::now())) {
        co_return co_await relay(*peer);
    }
    record_demand();
    need_.longest_usual_silence = shortest_silence(bounds());
    // A shutdown leaves no time to find out again that a replica is silent.
    need_.only_answering = state_->shutdown.begun();
    replica* const at = co_await find_replica();
    if (stall_has_ended() || refuse_in_shutdown() ||
        refuse_silent_replica(at)) {
        co_return next_step::give_up;
    }
    if (at == nullptr && unreached_ > 0) {
        state_->reachability.on_replicas_exhausted(boot_clock::now());
    }
    search_failed_ = at == nullptr;
    if (search_failed_ && select_relay(true, boot_clock::now())) {
        co_return next_step::search;
    }
    // The request may have been quarantined while it waited for its adapter.
    if (at == nullptr || refuse_quarantined() || !consume_resend_budget()) {
        co_return next_step::give_up;
    }
    endpoint_id const id = at->record.id;
    exchange_->check_caller();
    if (caller->gone) {
        co_return next_step::search;
    }
    if (!co_await clear_to_send(id)) {
        co_return next_step::search;
    }
    if (refuse_in_shutdown()) {
        leave_gate(attempt_outcome::unreached);
        co_return next_step::give_up;
    }
    replica& target = *state_->replicas.find(id);
    ip_address to = target.record.address;
    attempt_ref const attempt = begin_attempt(target);
    attempt_outcome const end = co_await make_attempt(attempt, std::move(to));
    co_return co_await after_attempt(attempt, end);
}

asio::awaitable<request_handler::next_step>
request_handler::after_attempt(attempt_ref attempt, attempt_outcome end) {
    auto const caller = caller_;
    endpoint_id const id = attempt->replica;
    bool crash_reported = false;
    if (end == attempt_outcome::stalled) {
        on_stalled(attempt);
    } else {
        end = classify_end(*attempt, end);
        crash_reported = conclude(*attempt, end);
        leave_gate(end);
    }
    if (end == attempt_outcome::finished) {
        co_return next_step::complete;
    }
    if (end == attempt_outcome::superseded) {
        reason_ = "overtaken";
        co_return next_step::give_up;
    }
    // A replica whose answer ended with its connection is healthy and may be
    // selected again.
    if (end != attempt_outcome::unproven) {
        need_.tried_replicas.push_back(id);
    }
    if (!may_retry(end)) {
        co_return next_step::give_up;
    }
    if (crash_reported) {
        co_await await_crash_reports();
    }
    co_return next_step::search;
}

platform::send_terms
request_handler::make_send_terms(replica const& at, instant now) const {
    platform::send_terms terms;
    terms.replica = at.record.id;
    terms.remaining = std::chrono::duration_cast<milliseconds>(deadline_ - now);
    terms.priority = priority();
    terms.authenticated = authenticated_;
    terms.team = team_ ? team_->name : team_id();
    std::uint32_t const least =
        state_->versions.min_version(need_.adapter, now);
    if (least > 0) {
        // A replica refuses every version other than the one named in the
        // request, even a newer one. The request therefore names the version
        // that the replica is expected to have loaded.
        auto const resident = at.adapters.find(need_.adapter);
        bool const version_known =
            resident != at.adapters.end() && resident->second.version >= least;
        terms.version = version_known ? resident->second.version
                                      : state_->versions.newest(need_.adapter);
    }
    terms.after_event = position_.last();
    return terms;
}

call_times request_handler::send_times(instant now) const {
    call_times times;
    times.send_before = deadline_ - min_attempt_time;
    times.close_at = deadline_ + milliseconds(100);
    times.each_step =
        std::chrono::duration_cast<milliseconds>(deadline_ - now) +
        milliseconds(100);
    times.connect = connect_timeout;
    if (!idempotent_) {
        times.idle_at_most = max_idle_if_not_idempotent;
    }
    times.echoed = std::string(platform::id_field);
    // An answer to an earlier request of a kept connection could not be told
    // from the answer to a request without an id.
    times.fresh = demand_.id.empty();
    return times;
}

request_handler::attempt_ref request_handler::begin_attempt(replica& at) {
    instant const now = boot_clock::now();
    endpoint_id const id = at.record.id;
    auto attempt = std::make_shared<forwarded_attempt>(
        state_->io.get_executor(), state_->replica_connections, now);
    attempt->replica = id;
    attempt->software = make_software_key(at.record.software);
    caller_->calls.insert(attempt->call);
    attempt->number = tracker_.begin();
    newest_ = attempt;
    ++attempts_;
    log_line line(event_code::request_sent);
    line.with("id", demand_.id.str())
        .with("replica", id.str())
        .with("software", at.record.software.str())
        .with("adapter", need_.adapter.str())
        .with("backlog", static_cast<int>(at.backlog(now)))
        .with("load", static_cast<int>(100 * at.load()))
        .with("pace", static_cast<int>(100 * at.speed.pace))
        .with("slowdown", static_cast<int>(100 * at.slowdown.factor(now)))
        .with("prompt", demand_.prompt_tokens)
        .with("try", attempts_)
        .with("waited_ms", now - arrived_at_);
    add_stop_time(line, now);
    add_heard_time(line, id);
    state_->log_event(line);
    attempt->serial = state_->replicas.attempt_sent(id);
    attempt->probe =
        state_->replicas.request_started(id, demand_.prompt_tokens, now);
    messenger_->begin_use(id, need_.adapter, demand_.prompt_tokens);
    return attempt;
}

asio::awaitable<attempt_outcome>
request_handler::send_attempt(attempt_ref attempt, ip_address to) {
    auto const caller = caller_;
    instant const now = boot_clock::now();
    replica const* const at =
        std::as_const(state_->replicas).find(attempt->replica);
    if (at == nullptr) {
        co_return attempt_outcome::unreached;
    }
    platform::send_terms const terms = make_send_terms(*at, now);
    attempt->after_event = terms.after_event;
    http_request request = platform::make_send(exchange_->request(), terms);
    call_times times = send_times(now);
    call_result const opened = co_await attempt->call->open(
        std::move(to), std::move(request), std::move(times));
    bool const in_time = boot_clock::now() < deadline_ - min_attempt_time;
    bool const superseded =
        response_complete_ || attempt->superseded || is_overtaken(*attempt);
    if (in_time && !superseded) {
        record_reachability(
            state_->reachability, attempt->replica, opened, *attempt->call);
        unreached_ += opened == call_result::not_sent ? 1 : 0;
    }
    if (opened != call_result::not_sent) {
        tracker_.on_sent(attempt->number);
    }
    bool const awaited = !response_complete_ && !attempt->superseded;
    if (opened == call_result::answered && awaited) {
        co_return co_await read_answer(attempt);
    }
    co_return classify_unanswered(*attempt, opened);
}

attempt_outcome request_handler::classify_unanswered(
    forwarded_attempt const& attempt, call_result opened) const {
    if (response_complete_ || attempt.superseded || is_overtaken(attempt)) {
        return attempt_outcome::superseded;
    }
    return opened == call_result::not_sent ? attempt_outcome::unreached
                                           : attempt_outcome::silent;
}

attempt_outcome request_handler::classify_end(
    forwarded_attempt const& attempt, attempt_outcome end) const {
    if (end == attempt_outcome::finished || end == attempt_outcome::refused ||
        end == attempt_outcome::superseded) {
        return end;
    }
    if (caller_->ended) {
        return attempt_outcome::ended;
    }
    if (boot_clock::now() >= deadline_) {
        return attempt_outcome::late;
    }
    bool const replaced = attempt.superseded || is_overtaken(attempt);
    if (end == attempt_outcome::silent && replaced) {
        return attempt_outcome::superseded;
    }
    if (end != attempt_outcome::silent || attempt.call->timed_out()) {
        return end;
    }
    return attempt.call->invalid() ? attempt_outcome::failed
                                   : attempt_outcome::broken;
}

bool request_handler::conclude(
    forwarded_attempt& attempt, attempt_outcome end) {
    attempt.trace.broke_off =
        attempt.trace.broke_off || attempt.call->broke_off();
    caller_->calls.erase(attempt.call);
    attempt.call->cancel();
    state_->replicas.request_finished(attempt.replica);
    state_->replicas.attempt_answered(attempt.replica, attempt.serial);
    // This node has judged a stalled attempt when it stalled; the controller
    // hears of it here only.
    bool const judged = attempt.stalled && attempt.shows_silence;
    auto const report =
        make_attempt_report(attempt, judged ? attempt_outcome::stalled : end);
    messenger_->end_use(attempt.replica, need_.adapter, report);
    if (report && !judged) {
        record_health(attempt, *report);
    }
    log_attempt(attempt, end);
    return report_outcome(attempt, end);
}

bool request_handler::may_retry(attempt_outcome end) {
    instant const now = boot_clock::now();
    refused_in_shutdown_ = false;
    confirms_end_ = confirms_end_ || end == attempt_outcome::unproven;
    if (caller_->ended) {
        reason_ = "stopping";
        return false;
    }
    if (trial_part_ && state_->quarantine.quarantined_for(*trial_part_, now)) {
        // A trial has one attempt.
        reason_ = "part-held";
        return false;
    }
    bool const bound = !route_->resumable || need_.software.has_value();
    if (response_started_ && (!position_.may_resume() || !bound)) {
        reason_ = "broken-off";
        return false;
    }
    switch (end) {
    case attempt_outcome::finished:
    case attempt_outcome::superseded:
    case attempt_outcome::ended:
        return false;
    case attempt_outcome::late:
        reason_ = "too-late";
        return false;
    case attempt_outcome::unreached:
        reason_ = "unreachable";
        return attempts_ < max_attempts;
    case attempt_outcome::refused:
        reason_ = "refused-by-replica";
        if (attempts_ >= max_attempts || !tracker_.may_resend()) {
            return false;
        }
        break;
    case attempt_outcome::failed:
    case attempt_outcome::silent:
    case attempt_outcome::broken:
    case attempt_outcome::unproven:
    case attempt_outcome::stalled:
        reason_ =
            end == attempt_outcome::failed ? "replica-failed" : "broken-off";
        if (tracker_.sends() >= route_->attempts || !tracker_.may_resend()) {
            return false;
        }
        break;
    }
    if (refuse_in_shutdown()) {
        return false;
    }
    // Checked before the search for a replica, whose capacity would go unused
    // if the budget is exhausted.
    if (!state_->resends.available(need_.service, now)) {
        reason_ += "-no-budget";
        return false;
    }
    return true;
}

// The budget is charged right before the send: a request that finds no replica
// sends nothing, and an attempt that reached no replica leaves its charge to
// the next attempt.
bool request_handler::consume_resend_budget() {
    if (resends_ >= tracker_.sends()) {
        return true;
    }
    if (!state_->resends.try_consume(need_.service, boot_clock::now())) {
        reason_ += "-no-budget";
        return false;
    }
    ++resends_;
    state_->metrics.count_resend(reason_);
    return true;
}

} // namespace camphorpoint