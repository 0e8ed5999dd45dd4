#include "Gateway/order_call.hpp"

#include "Gateway/command_times.hpp"
#include "Gateway/peer_messenger.hpp"
#include "Gateway/reachability_prober.hpp"
#include "Ports/http_client.hpp"
#include "platform/order_wire.hpp"
#include "platform/request_wire.hpp"

#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

order_outcome outcome_of(fetch_result const& got) {
    order_outcome outcome;
    if (got.how == call_result::not_sent) {
        outcome.answer = command_result::not_sent;
    } else if (got.how == call_result::answered) {
        outcome.answer = platform::read_order_answer(got.response.status);
        outcome.leaving = outcome.answer != command_result::wrong_replica &&
                          platform::announces_leaving(got.response.fields);
    }
    return outcome;
}

/// @returns true when the answer has consequences for the whole replica and may
///          be the answer to an earlier order
bool may_be_stale(command_result answer, http_call const& call) {
    bool const ends_control = answer == command_result::fenced ||
                              answer == command_result::wrong_replica;
    return ends_control && call.reused() && !call.names_request();
}

} // namespace

asio::awaitable<order_outcome> send_order(
    gateway_state& state, endpoint_id id, ip_address to, http_request request,
    std::uint64_t token) {
    order_outcome outcome;
    bool fresh = false;
    bool sends = true;
    while (sends) {
        http_call call(state.io.get_executor(), &state.replica_connections);
        call_times times = command_times(state.leases);
        times.echoed = platform::id_field;
        times.own_id = true;
        times.fresh = fresh;
        auto const got =
            co_await fetch(call, to, request, times, largest_control_answer);
        record_reachability(state.reachability, id, got.how, call);
        outcome = outcome_of(got);
        if (fresh && outcome.answer == command_result::not_sent) {
            outcome.answer = command_result::no_answer;
        }
        bool const stale = may_be_stale(outcome.answer, call);
        // The lease may have moved on during the first send.
        sends = stale && state.leases.token(
                             partition_of(id), boot_clock::now()) == token;
        if (stale && !sends) {
            outcome.answer = command_result::no_answer;
        }
        fresh = true;
    }
    co_return outcome;
}

} // namespace camphorpoint
