#include "Gateway/request_flow.hpp"

#include "Core/hash.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using platform::answer_kind;
using std::chrono::milliseconds;

namespace {

constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

/// A replica below this load takes a request at once: it still has room in its
/// batch when the other nodes think the same.
constexpr double easy_load = 0.6;
/// From here on a replica has a queue of its own as long as a quarter of its
/// batch; what comes then would miss its objective by waiting.
constexpr double full_load = 1.25;
/// From this mean crowding of its replicas on a service is busy: some are full
/// then, as requests do not come evenly.
constexpr double busy_service = 0.65;
/// A holder that is as full as this gets a second one beside it. A copy costs a
/// load and a slot, and while places are free it brings nothing sooner.
constexpr double copy_load = 0.9;
/// Wants are repeated so often: datagrams may be lost, holders may change.
constexpr milliseconds want_again{300};
/// A connection to a replica takes two milliseconds; longer means that it is
/// gone or cut off.
constexpr milliseconds connect_time{300};
/// A stream that may go on elsewhere is given up after this silence: twice the
/// longest pause that any installation's callers take for good.
constexpr milliseconds stream_silence{1'500};
/// Attempts that a replica refused, or that never reached one, beside those
/// that the route allows.
constexpr unsigned most_tries = 4;
/// Callers give a stream up when its first event takes four times the
/// objective. Who waits for a load so long gets "not run" while there is time
/// to come back.
constexpr unsigned load_wait_objectives = 3;
/// Prompt tokens that a replica should have to read at a time, a further
/// prompt included. More make its streams pause for longer than their callers
/// take for good, and the objective leaves time to wait here. Below the least
/// a long prompt goes at once: it would never find less.
constexpr double most_together = 4'500;
constexpr double least_backlog = 500;

/// A request is held for this at the most: a third of the tightest objective
/// of a stream, so that a load still fits.
constexpr milliseconds longest_hold{260};
constexpr milliseconds hold_look{15};
/// From this crowding of the best holder on a copy is as urgent as a first
/// load.
constexpr double copy_crowding = 0.4;
/// The home of an adapter is asked for this long before another is.
constexpr milliseconds home_stays{900};
/// Whoever counts a replica's requests answers within a few milliseconds. It is
/// not worth more than a fiftieth of the tightest objective of a stream.
constexpr milliseconds ask_time{15};
/// A replica may drop an idle connection without a sign. What must not run
/// twice can't be sent again after that, so it goes over one that was used a
/// short time ago.
constexpr milliseconds safe_idle{1'000};
/// Holders that are fuller than the mean by less are as full as the others.
constexpr double noticed_crowding = 0.05;
/// Least time that a replica needs for anything.
constexpr milliseconds least_run{20};

} // namespace

request_flow::request_flow(
    gateway_beliefs& beliefs, peer_words& words, http_exchange& exchange)
    : beliefs_(&beliefs)
    , words_(&words)
    , exchange_(&exchange)
    , arrived_(boot_clock::now())
    , deadline_(arrived_)
    , demand_(platform::read_demand(exchange.request()))
    , leaving_(std::make_shared<leaving>()) {
    ++beliefs_->live_requests;
}

request_flow::~request_flow() {
    --beliefs_->live_requests;
    // The caller's leaving may still call back.
    leaving_->call = nullptr;
    leaving_->waiters = nullptr;
}

bool request_flow::admit() {
    http_request const& request = exchange_->request();
    service_route const* const found = beliefs_->routes.find(
        request.fields.get("Host"), path_of(request.target));
    if (found == nullptr) {
        return false;
    }
    // Copied: the configuration may change while the request runs.
    route_ = *found;
    ledger_ = attempt_ledger(route_->idempotent());
    relay_ = event_relay(demand_.last_event);
    milliseconds const patience =
        std::min(demand_.patience.value_or(route_->timeout), route_->timeout);
    deadline_ = arrived_ + patience;
    need_.service = pick_service(*route_, hash_text(demand_.id.str()));
    need_.adapter = demand_.adapter;
    need_.model = demand_.model;
    need_.draw = beliefs_->random();
    if (!need_.adapter.empty()) {
        beliefs_->demand.add(need_.adapter, demand_.prompt_tokens, arrived_);
        need_.long_prompt = demand_.prompt_tokens >= long_prompt;
        need_.long_lane = beliefs_->demand.long_lane(
            beliefs_->replicas.of_service(need_.service).size(), arrived_);
    }
    beliefs_->second_sends.on_request(need_.service, arrived_);
    return true;
}

asio::awaitable<void> request_flow::run() {
    auto const caller = leaving_;
    if (!beliefs_->configured) {
        status_ = status_unavailable;
        co_await finish("no-configuration");
        co_return;
    }
    if (!admit()) {
        status_ = status_not_found;
        co_await finish("no-route");
        co_return;
    }
    beliefs_->note(log_line(event_code::request_routed)
                       .with("id", demand_.id.str())
                       .with("route", route_->name)
                       .with("service", need_.service.str())
                       .with("version", beliefs_->configuration.version));
    leaving_->waiters = &beliefs_->waiters;
    leaving_->adapter = need_.adapter;
    exchange_->on_caller_gone([state = caller] {
        state->gone = true;
        if (state->call) {
            state->call->cancel();
        }
        if (state->waiters != nullptr) {
            state->waiters->notify(state->adapter);
        }
    });
    co_await answer_all();
}

asio::awaitable<void> request_flow::answer_all() {
    auto const caller = leaving_;
    while (!caller->gone) {
        replica* const at = co_await find_replica();
        if (at == nullptr) {
            co_await finish(reason_);
            co_return;
        }
        endpoint_id const id = at->record.id;
        attempt_end const end = co_await attempt(*at);
        note_evidence(id, end);
        note_attempt(id, end);
        if (end == attempt_end::finished) {
            co_await finish("answered");
            co_return;
        }
        need_.tried.push_back(id);
        if (!may_go_on(end)) {
            co_await finish(reason_);
            co_return;
        }
    }
    co_await finish("caller-gone");
}

replica* request_flow::plain_replica(instant now) {
    replica* const best = beliefs_->choice.best(need_, now);
    if (best == nullptr) {
        reason_ = "no-replica";
        return nullptr;
    }
    // A plain service queues a few requests itself, and says when it is full.
    return best;
}

void request_flow::ask_for_copy(replica* home, bool urgent) {
    if (home == nullptr) {
        return;
    }
    bool const fresh = asked_.empty();
    bool const new_here = asked_ != home->record.id;
    asked_ = home->record.id;
    std::uint32_t const version =
        beliefs_->newest_version(need_.adapter).value_or(0);
    words_->want(*home, {need_.adapter, version}, urgent, fresh, new_here);
}

void request_flow::want_copies(replica const& best, instant now) {
    std::size_t const replicas =
        beliefs_->replicas.of_service(need_.service).size();
    std::size_t const here = beliefs_->choice.holders(need_, now);
    std::size_t const wanted =
        beliefs_->demand.copies(need_.adapter, replicas, now);
    bool const lane_lacks =
        here == 0 && beliefs_->demand.steady(need_.adapter, replicas, now);
    // A copy spreads nothing while the holders are no fuller than the others.
    // Each node guesses the demand from its own few requests, and the highest
    // of many guesses would make copies everywhere.
    double const mean = beliefs_->choice.mean_crowding(need_.service, now);
    bool const fuller =
        replica_choice::crowding(best, now) > mean + noticed_crowding;
    if (lane_lacks || (fuller && here > 0 && here < wanted)) {
        // While its holders have room the copy waits for loads that somebody
        // waits for.
        bool const urgent =
            replica_choice::crowding(best, now) >= copy_crowding;
        ask_for_copy(beliefs_->choice.next_home(need_, now), urgent);
    }
}

replica* request_flow::home_for(instant now) {
    // A home that was asked stays the one while it can: the load may be under
    // way, and another would be a second one for nothing.
    replica* const asked = beliefs_->replicas.find(asked_);
    // One that has filled up meanwhile would be a reason to refuse.
    if (asked != nullptr && asked->open() && now >= asked->no_room_until &&
        asked->load() < full_load && !asked->health.suspected(now) &&
        now < arrived_ + home_stays) {
        return asked;
    }
    return beliefs_->choice.next_home(need_, now);
}

bool request_flow::should_hold(replica const& at, instant now) const {
    double const waiting = at.backlog(now);
    return waiting > least_backlog &&
           waiting + demand_.prompt_tokens > most_together &&
           now < arrived_ + longest_hold;
}

std::optional<replica*> request_flow::adapter_replica(instant now) {
    holding_ = false;
    std::uint32_t const newest =
        beliefs_->newest_version(need_.adapter).value_or(0);
    need_.least_version = newest;
    replica* best = beliefs_->choice.best(need_, now);
    if (best == nullptr && newest > 0 &&
        beliefs_->least_version(need_.adapter, now) == 0) {
        // The old version serves until the new one lies somewhere.
        ask_for_copy(beliefs_->choice.next_home(need_, now), true);
        need_.least_version = 0;
        best = beliefs_->choice.best(need_, now);
    }
    bool const sound = best != nullptr && !best->health.suspected(now);
    if (sound && best->counted(now) && best->load() < easy_load) {
        want_copies(*best, now);
        holding_ = should_hold(*best, now);
        if (holding_) {
            return std::nullopt;
        }
        return best;
    }
    replica* const home = home_for(now);
    // Where nobody is known to count, all others send blindly too. It is used
    // when there is no other.
    bool const blind = sound && !best->counted(now) && home != nullptr &&
                       home->counted(now) &&
                       now < arrived_ + route_->objective / 2;
    if (sound && !blind && best->load() < full_load) {
        if (home != nullptr && home->load() < best->load() &&
            best->load() >= copy_load) {
            ask_for_copy(home, false);
        }
        return best;
    }
    // While the service has room, the home's orderer decides: what was heard of
    // its load is older. When all are busy a further load would make everybody
    // late, and places come free elsewhere no sooner.
    bool const service_busy =
        beliefs_->choice.mean_crowding(need_.service, now) >= busy_service;
    if (home != nullptr && (home->load() < full_load || !service_busy)) {
        ask_for_copy(home, true);
        return std::nullopt;
    }
    bool const none = best == nullptr && home == nullptr;
    if (none && now < arrived_ + route_->objective &&
        beliefs_->choice.any_open(need_.service)) {
        // All that lies anywhere is in use right now; some of it ends soon.
        return std::nullopt;
    }
    reason_ = none ? "no-replica" : "all-full";
    return nullptr;
}

asio::awaitable<void> request_flow::freshen_loads() {
    auto const caller = leaving_;
    instant const began = boot_clock::now();
    instant const until = began + ask_time;
    auto const asked = words_->ask_loads(
        beliefs_->choice.compared(need_, began), need_.adapter, began);
    auto const unanswered = [&](endpoint_id const& id) {
        replica const* const at = beliefs_->replicas.find(id);
        return at != nullptr && at->total_told < began;
    };
    while (std::ranges::any_of(asked, unanswered) && !caller->gone &&
           boot_clock::now() < until) {
        adapter_id adapter = need_.adapter;
        co_await beliefs_->waiters.wait(std::move(adapter), until);
    }
}

asio::awaitable<replica*> request_flow::find_replica() {
    auto const caller = leaving_;
    co_await freshen_loads();
    instant const began = boot_clock::now();
    instant const give_up = std::min(
        deadline_ - least_run,
        began + load_wait_objectives * route_->objective);
    bool waited = false;
    bool freshened = false;
    while (!caller->gone) {
        instant const now = boot_clock::now();
        if (now >= deadline_ - least_run) {
            reason_ = "too-late";
            co_return nullptr;
        }
        std::optional<replica*> const found =
            need_.adapter.empty() ? plain_replica(now) : adapter_replica(now);
        if (found && (!waited || *found == nullptr || freshened)) {
            if (waited) {
                beliefs_->metrics.observe_load_wait(now - began);
            }
            co_return *found;
        }
        if (found) {
            // All who have waited are woken at once.
            co_await freshen_loads();
            freshened = true;
            continue;
        }
        freshened = false;
        if (now >= give_up) {
            reason_ = "load-takes-too-long";
            co_return nullptr;
        }
        if (!waited && !holding_) {
            beliefs_->note(log_line(event_code::request_waits)
                               .with("id", demand_.id.str())
                               .with("adapter", need_.adapter.str())
                               .with("at", asked_.str()));
        }
        waited = waited || !holding_;
        adapter_id adapter = need_.adapter;
        instant const look = holding_ ? now + hold_look : now + want_again;
        co_await beliefs_->waiters.wait(
            std::move(adapter), std::min(give_up, look));
    }
    reason_ = "caller-gone";
    co_return nullptr;
}

platform::send_terms
request_flow::terms_of(replica const& at, instant now) const {
    platform::send_terms terms;
    terms.replica = at.record.id;
    terms.remaining = std::chrono::duration_cast<milliseconds>(deadline_ - now);
    terms.priority = route_->priority;
    if (beliefs_->least_version(need_.adapter, now) > 0) {
        terms.version = beliefs_->newest_version(need_.adapter);
    }
    if (begun_) {
        terms.after_event = relay_.last();
    }
    return terms;
}

call_times request_flow::times_of_send(instant now) const {
    call_times times;
    times.send_before = deadline_ - least_run;
    times.close_at = deadline_ + milliseconds(100);
    times.each_step =
        std::chrono::duration_cast<milliseconds>(deadline_ - now) +
        milliseconds(100);
    times.connect = connect_time;
    if (!route_->idempotent()) {
        times.idle_at_most = safe_idle;
    }
    times.echoed = std::string(platform::id_field);
    return times;
}

asio::awaitable<request_flow::attempt_end> request_flow::attempt(replica& at) {
    instant const now = boot_clock::now();
    endpoint_id const id = at.record.id;
    ip_address to = at.record.address;
    http_request request =
        platform::make_send(exchange_->request(), terms_of(at, now));
    auto const call = std::make_shared<http_call>(
        beliefs_->io.get_executor(), &beliefs_->replica_connections);
    leaving_->call = call;
    ledger_.begin();
    ++tries_;
    beliefs_->note(log_line(event_code::request_sent)
                       .with("id", demand_.id.str())
                       .with("replica", id.str())
                       .with("adapter", need_.adapter.str())
                       .with("backlog", static_cast<int>(at.backlog(now)))
                       .with("load", static_cast<int>(100 * at.load()))
                       .with("prompt", demand_.prompt_tokens)
                       .with("try", tries_)
                       .with("waited_ms", now - arrived_));
    beliefs_->replicas.began(id, demand_.prompt_tokens, now);
    words_->use(id, need_.adapter, demand_.prompt_tokens);
    if (begun_) {
        relay_.begin_run();
    }
    call_times times = times_of_send(now);
    call_result const opened = co_await call->open(
        std::move(to), std::move(request), std::move(times));
    attempt_end end = attempt_end::unreached;
    if (opened != call_result::not_sent) {
        ledger_.written();
        end = attempt_end::silent;
    }
    if (opened == call_result::answered) {
        end = co_await read_answer(id, call);
    }
    if (end == attempt_end::silent && !call->timed_out()) {
        end = attempt_end::broken;
    }
    leaving_->call = nullptr;
    beliefs_->replicas.ended(id);
    words_->release(id, need_.adapter);
    bool const late = boot_clock::now() >= deadline_;
    if (late && end != attempt_end::finished && end != attempt_end::refused) {
        end = attempt_end::late;
    }
    co_return end;
}

asio::awaitable<request_flow::attempt_end>
request_flow::read_answer(endpoint_id at, std::shared_ptr<http_call> call) {
    auto const caller = leaving_;
    int const status = call->status();
    answer_kind const kind = platform::judge_answer(status, call->fields());
    if (kind == answer_kind::not_executed || kind == answer_kind::misdirected) {
        ledger_.not_executed();
        if (kind == answer_kind::misdirected && !need_.adapter.empty()) {
            beliefs_->replicas.told_dropped(
                at, need_.adapter, boot_clock::now());
        }
        // Read to its end, so that the connection can be kept.
        while (auto const piece = co_await call->next_piece()) {
            if (piece->empty() || caller->gone) {
                break;
            }
        }
        co_return attempt_end::refused;
    }
    ledger_.answering();
    if (kind == answer_kind::spoiled) {
        co_return attempt_end::silent;
    }
    bool const stream =
        route_->kind == route_kind::streaming && kind == answer_kind::success;
    if (stream) {
        co_return co_await pass_stream(call);
    }
    co_return co_await pass_whole(call, status);
}

asio::awaitable<bool> request_flow::forward(std::string_view piece) {
    auto const caller = leaving_;
    if (piece.empty()) {
        co_return true;
    }
    instant const now = boot_clock::now();
    if (first_sent_ == instant{}) {
        first_sent_ = now;
    } else {
        longest_pause_ = std::max(longest_pause_, now - last_sent_);
    }
    last_sent_ = now;
    bool const passed = co_await exchange_->write_piece(piece);
    caller->gone = caller->gone || !passed;
    co_return passed;
}

asio::awaitable<request_flow::attempt_end>
request_flow::pass_stream(std::shared_ptr<http_call> call) {
    auto const caller = leaving_;
    bool const resumable = route_->resumable;
    while (true) {
        auto const left = std::chrono::duration_cast<milliseconds>(
            deadline_ + milliseconds(100) - boot_clock::now());
        milliseconds const wait =
            resumable ? std::min(left, stream_silence) : left;
        auto const piece =
            co_await call->next_piece(std::max(wait, milliseconds(1)));
        if (caller->gone) {
            co_return attempt_end::finished;
        }
        if (!piece) {
            co_return attempt_end::silent;
        }
        std::string events;
        if (piece->empty()) {
            if (relay_.inside_event()) {
                co_return attempt_end::silent;
            }
            break;
        }
        if (relay_.push(*piece, events) == relay_verdict::broken) {
            call->cancel();
            co_return attempt_end::silent;
        }
        if (events.empty()) {
            continue;
        }
        if (!begun_) {
            begun_ = true;
            status_ = call->status();
            beliefs_->metrics.observe_first_byte(boot_clock::now() - arrived_);
            http_fields fields = platform::pass_fields(call->fields());
            bool const begun =
                co_await exchange_->begin_stream(status_, std::move(fields));
            leaving_->gone = leaving_->gone || !begun;
        }
        bool const passed = co_await forward(events);
        if (!passed || leaving_->gone) {
            call->cancel();
            co_return attempt_end::finished;
        }
    }
    ledger_.ended();
    if (begun_) {
        ended_ = co_await exchange_->end_stream();
        co_return attempt_end::finished;
    }
    // A success without any event is passed on as it is.
    http_response empty;
    empty.status = call->status();
    empty.fields = platform::pass_fields(call->fields());
    status_ = empty.status;
    ended_ = co_await exchange_->respond(std::move(empty));
    co_return attempt_end::finished;
}

asio::awaitable<request_flow::attempt_end>
request_flow::pass_whole(std::shared_ptr<http_call> call, int status) {
    auto const caller = leaving_;
    http_response answer;
    answer.status = status;
    answer.fields = platform::pass_fields(call->fields());
    while (true) {
        auto const piece = co_await call->next_piece();
        if (!piece || answer.body.size() > largest_answer) {
            co_return attempt_end::silent;
        }
        if (piece->empty()) {
            break;
        }
        answer.body += *piece;
    }
    ledger_.ended();
    constexpr int first_failure = 500;
    if (status >= first_failure) {
        failure_ = std::move(answer);
        co_return attempt_end::failed;
    }
    status_ = status;
    beliefs_->metrics.observe_first_byte(boot_clock::now() - arrived_);
    ended_ = co_await exchange_->respond(std::move(answer));
    caller->gone = caller->gone || !ended_;
    co_return attempt_end::finished;
}

bool request_flow::may_go_on(attempt_end end) {
    instant const now = boot_clock::now();
    switch (end) {
    case attempt_end::finished:
        return false;
    case attempt_end::late:
        reason_ = "too-late";
        return false;
    case attempt_end::unreached:
        reason_ = "unreachable";
        return tries_ < most_tries;
    case attempt_end::refused:
        reason_ = "refused-by-replica";
        if (tries_ >= most_tries || !ledger_.may_send_again()) {
            return false;
        }
        break;
    case attempt_end::failed:
    case attempt_end::silent:
    case attempt_end::broken:
        reason_ = end == attempt_end::failed ? "replica-failed" : "broken-off";
        if (ledger_.sends() >= route_->attempts || !ledger_.may_send_again()) {
            return false;
        }
        break;
    }
    if (!beliefs_->second_sends.take(need_.service, beliefs_->nodes(), now)) {
        reason_ += "-no-budget";
        return false;
    }
    beliefs_->metrics.count_second_send(reason_);
    return true;
}

} // namespace camphorpoint
