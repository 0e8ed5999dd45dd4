#include "Gateway/request_handler.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using platform::answer_kind;
using std::chrono::milliseconds;

namespace {

/// Nodes answer each other within milliseconds; a connection that takes much
/// longer leads to a node that is down.
constexpr milliseconds peer_connect_timeout{300};
/// Replicas that a request fails to reach before it is relayed although the
/// node is not known to be partitioned.
constexpr unsigned unreached_to_relay = 2;
constexpr std::size_t max_tried_peers = 3;

} // namespace

std::optional<std::string>
request_handler::select_relay(bool refused, instant now) {
    bool const may_relay = !relayed_ && tracker_.may_resend() &&
                           now < deadline_ - min_attempt_time &&
                           tried_peers_.size() < max_tried_peers;
    replica_links const links = state_->reachability.links(now);
    bool const unreachable =
        links == replica_links::cut || unreached_ >= unreached_to_relay;
    if (may_relay && unreachable) {
        return messenger_->select_relay(
            tried_peers_, replica_links::partly_cut, now);
    }
    // The refusal may be due to this node's own links. Where several replicas
    // have stopped, each node's links are partly cut, and none is asked.
    if (may_relay && refused && links == replica_links::partly_cut) {
        return messenger_->select_relay(
            tried_peers_, replica_links::intact, now);
    }
    return std::nullopt;
}

relay_terms request_handler::make_relay_terms() const {
    relay_terms terms;
    terms.sends = tracker_.sends();
    terms.counted = counted_;
    terms.idempotent = idempotent_;
    terms.software = need_.software;
    if (team_) {
        terms.team = team_->name;
        terms.priority = team_->priority;
    }
    return terms;
}

asio::awaitable<request_handler::next_step>
request_handler::relay(std::string peer) {
    auto const caller = caller_;
    if (!consume_resend_budget()) {
        co_return next_step::give_up;
    }
    instant const now = boot_clock::now();
    state_->log_event(log_line(event_code::request_relayed)
                          .with("id", demand_.id.str())
                          .with("peer", peer)
                          .with("sends", tracker_.sends())
                          .with("waited_ms", now - arrived_at_));
    platform::relay_send_terms terms;
    terms.remaining = std::chrono::duration_cast<milliseconds>(deadline_ - now);
    terms.after_event = position_.last();
    terms.authenticated = authenticated_;
    terms.relay = encode(make_relay_terms());
    http_request request = platform::make_relay(exchange_->request(), terms);
    call_times times = send_times(now);
    times.connect = peer_connect_timeout;
    auto const attempt = std::make_shared<forwarded_attempt>(
        state_->io.get_executor(), state_->peer_connections, now);
    attempt->peer = peer;
    attempt->after_event = terms.after_event;
    caller_->calls.insert(attempt->call);
    attempt->number = tracker_.begin();
    newest_ = attempt;
    tried_peers_.insert(peer);
    ip_address to = parse_address(peer);
    call_result const opened = co_await attempt->call->open(
        std::move(to), std::move(request), std::move(times));
    if (opened != call_result::not_sent) {
        tracker_.on_sent(attempt->number);
        counted_ = true;
    }
    next_step step = next_step::give_up;
    bool const superseded = response_complete_ || attempt->superseded;
    if (opened == call_result::answered && !superseded) {
        step = co_await pass_relayed_answer(attempt);
    } else if (!response_complete_) {
        step = finish_relay(*attempt, classify_unanswered(*attempt, opened));
    }
    caller_->calls.erase(attempt->call);
    co_return step;
}

asio::awaitable<request_handler::next_step>
request_handler::pass_relayed_answer(attempt_ref attempt) {
    auto const caller = caller_;
    auto const call = attempt->call;
    http_fields const fields = call->fields();
    int const status = call->status();
    attempt->note_head(status, boot_clock::now());
    attempt->trace.states_not_run = platform::states_not_run(fields);
    std::string_view const relay_word = fields.get(platform::relay_field);
    bool const declined = relay_word == relay_declined;
    bool const refused = declined || relay_word == relay_refused;
    attempt->software = decode_relayed_software(relay_word);
    if (refused && call->names_request()) {
        if (declined) {
            tracker_.on_declined(attempt->number);
        } else {
            tracker_.on_not_executed(attempt->number);
        }
        co_await call->skip_rest();
        if (declined) {
            co_return finish_relay(*attempt, attempt_outcome::refused);
        }
        log_attempt(*attempt, attempt_outcome::refused);
        constexpr int first_failure = 500;
        if (!tracker_.may_run() && status >= first_failure) {
            http_response refusal;
            refusal.status = status;
            refusal.fields = platform::pass_fields(fields);
            failure_response_ = std::move(refusal);
        }
        reason_ = "refused-by-peer";
        co_return next_step::give_up;
    }
    // A peer does not pass on a replica's refusal.
    answer_kind const kind = platform::judge_answer(status, fields, false);
    attempt_outcome end = co_await forward_answer(attempt, kind);
    bool const late = boot_clock::now() >= deadline_;
    if (late && end != attempt_outcome::finished) {
        end = attempt_outcome::late;
    }
    // The peer has made the attempts that the route allows.
    if (end == attempt_outcome::failed && failure_response_) {
        log_attempt(*attempt, end);
        reason_ = "replica-failed";
        co_return next_step::give_up;
    }
    co_return finish_relay(*attempt, end);
}

request_handler::next_step request_handler::finish_relay(
    forwarded_attempt const& attempt, attempt_outcome end) {
    log_attempt(attempt, end);
    if (end == attempt_outcome::finished) {
        return next_step::complete;
    }
    if (end == attempt_outcome::superseded) {
        reason_ = "overtaken";
        return next_step::give_up;
    }
    bool const retry = !caller_->gone && may_retry(end);
    return retry ? next_step::search : next_step::give_up;
}

} // namespace camphorpoint
