#include "Gateway/request_handler.hpp"

#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;

bool request_handler::refuse_in_shutdown() {
    return refuse_in_shutdown(barred_by_shutdown(boot_clock::now()));
}

bool request_handler::refuse_silent_replica(replica const* at) {
    // Another node has the time to wait for the replica. A request that was
    // sent before may gain by any other replica.
    bool const first_send = attempts_ == 0 && !tracker_.may_run();
    bool const may_be_cut = state_->shutdown.begun() &&
                            deadline_ > state_->shutdown.ends_at() &&
                            route_->kind == route_kind::streaming;
    return refuse_in_shutdown(
        first_send && may_be_cut && at != nullptr && at->silent_since_stall());
}

bool request_handler::refuse_in_shutdown(bool refused) {
    refused_in_shutdown_ = refused;
    if (!refused) {
        return false;
    }
    reason_ = "stopping";
    // Another node serves the caller at once.
    refusal_retry_after_ = duration::zero();
    unsigned const earlier_sends = relayed_ ? relayed_->sends : 0;
    declined_ = declined_ || tracker_.sends() == earlier_sends;
    return true;
}

bool request_handler::barred_by_shutdown(instant now) const {
    // A run that only confirms the end of a stream has nothing more to write. A
    // request that may have run and is answered at once is answered at the end
    // of the shutdown at the latest.
    bool const answered_at_once = route_->kind != route_kind::streaming;
    bool const may_go_on =
        confirms_end_ || (answered_at_once && tracker_.may_run());
    bool const late = !may_go_on && !state_->shutdown.accepts(deadline_, now);
    return late || caller_->ended;
}

asio::awaitable<void> request_handler::pause_until(instant until) {
    auto const caller = caller_;
    for (instant now = boot_clock::now();
         now < until && !caller->gone && !barred_by_shutdown(now);
         now = boot_clock::now()) {
        adapter_id adapter = need_.adapter;
        co_await state_->waiters.wait(std::move(adapter), until);
    }
}

} // namespace camphorpoint
