#include "Gateway/request_handler.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string_view>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

constexpr int status_unauthorized = 401;
constexpr int status_too_many_requests = 429;
/// Interval at which a request asks again while no node counts its team.
constexpr std::chrono::milliseconds usage_retry_delay{100};
/// Fraction of the latency objective for which it does so. Nodes that have just
/// started know the counting node within a second.
constexpr double usage_wait_fraction = 0.5;

} // namespace

bool request_handler::authenticate() {
    using platform::credentials_kind;
    if (!state_->configuration.teams) {
        return true;
    }
    authenticated_ = true;
    if (relayed_) {
        // The entry node has checked the key, and the team's usage cap.
        if (!relayed_->team.empty()) {
            team_ = team_definition{
                relayed_->team, {}, relayed_->priority, usage_cap()};
        }
        return true;
    }
    std::string_view denial;
    if (demand_.credentials == credentials_kind::api_key) {
        team_definition const* const found =
            state_->teams.find_by_key(demand_.api_key);
        if (found != nullptr) {
            // The team is copied because the configuration may change while
            // the request runs.
            team_ = *found;
            return true;
        }
        denial = "unknown-key";
    } else if (!route_->allows_anonymous) {
        denial = demand_.credentials == credentials_kind::malformed
                     ? "malformed"
                     : "no-key";
    } else {
        return true;
    }
    bool const may_be_new =
        denial == "unknown-key" && state_->behind_peers(arrived_at_);
    if (may_be_new) {
        // Other nodes know newer declarations, which may contain the key.
        reason_ = "declarations-behind";
        return false;
    }
    rejection_status_ = status_unauthorized;
    reason_ = "denied";
    state_->log_event(log_line(event_code::request_denied)
                          .with("id", demand_.id.str())
                          .with("route", route_->name)
                          .with("why", denial)
                          .with("version", state_->configuration.version));
    return false;
}

unsigned request_handler::priority() const {
    return team_ ? team_->priority.value_or(route_->priority)
                 : route_->priority;
}

asio::awaitable<bool> request_handler::take_usage() {
    auto const caller = caller_;
    if (!team_ || !team_->cap.limited()) {
        co_return true;
    }
    std::uint64_t const team = team_table::hash_of(team_->name);
    auto const units =
        static_cast<std::uint64_t>(team_->cap.units_of(demand_.total_tokens));
    instant const ask_until =
        arrived_at_ + objective_fraction(usage_wait_fraction);
    usage_answer answer =
        co_await messenger_->request_usage(team, team_->cap, units);
    while (answer.outcome == usage_outcome::unconfirmed && !caller->gone &&
           !barred_by_shutdown(boot_clock::now()) &&
           boot_clock::now() + usage_retry_delay < ask_until) {
        asio::steady_timer timer(state_->io, usage_retry_delay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        answer = co_await messenger_->request_usage(team, team_->cap, units);
    }
    switch (answer.outcome) {
    case usage_outcome::granted:
        granted_units_ = units;
        co_return true;
    case usage_outcome::granted_unconfirmed:
        co_return true;
    case usage_outcome::denied:
        rejection_status_ = status_too_many_requests;
        refusal_retry_after_ = answer.retry_after;
        reason_ = "over-cap";
        break;
    case usage_outcome::unconfirmed:
        reason_ = "usage-unconfirmed";
        break;
    }
    state_->log_event(log_line(event_code::request_capped)
                          .with("id", demand_.id.str())
                          .with("team", team_->name.str())
                          .with("units", units)
                          .with("why", reason_)
                          .with("partition", team % partition_count)
                          .with("retry_ms", answer.retry_after));
    co_return false;
}

void request_handler::return_unused_usage() {
    if (granted_units_ > 0 && !tracker_.may_run()) {
        messenger_->return_usage(
            team_table::hash_of(team_->name), granted_units_);
        granted_units_ = 0;
    }
}

} // namespace camphorpoint
