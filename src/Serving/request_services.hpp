#pragma once

#include "Serving/node_outbox.hpp"
#include "Serving/node_services.hpp"
#include "Serving/quarantine_router.hpp"
#include "Serving/request_environment.hpp"
#include "Serving/serving_settings.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace camphorpoint {

/// The request_environment of a running node, backed by its services.
class request_services {
public:
    request_services(
        serving_settings const& settings, node_services& services,
        node_outbox& outbox, quarantine_router& quarantine)
        : settings_(settings)
        , services_(services)
        , outbox_(outbox)
        , quarantine_(quarantine) {}

    /// Begins the shutdown: no further request is admitted.
    void start_draining() noexcept { draining_ = true; }
    bool draining() const noexcept { return draining_; }
    /// Sets the clock reading of the event that is being handled.
    void set_clock(clock_reading clock) noexcept { clock_ = clock; }

    admission admit(profile_name const& name, instant now);
    route choose(live_request const& request, instant now);
    std::string address_of(endpoint_id const& endpoint) const;
    bool try_consume_retry(live_request const& request, instant now);
    bool send_to_owner(
        endpoint_id const& replica, owner_message const& message, instant now);
    void request_key(live_request const& request, instant now);
    void cancel_key_request(request_id const& id, instant now);
    void on_keyed_request_ended(
        request_id const& id, outcome how, reason why,
        std::string const& answer, instant now);
    void record_output(live_request const& request, instant now) {
        quarantine_.on_output(request.submitted.prompt_parts, now);
    }
    bool record_attempt_end(
        live_request const& request, attempt_ended const& end, instant now);
    std::optional<duration>
    quarantined_for(live_request const& request, instant now) const;
    bool accepts_requests(endpoint_id const& endpoint, instant now) const;
    duration rest_remaining(endpoint_id const& endpoint, instant now) const;
    void submit_service(live_request const& request, instant now);
    void cancel_service_request(live_request const& request);
    void act(node_action const& action) { outbox_.emit(action); }

private:
    bool
    may_run_without_grant(endpoint_instance const& endpoint, instant now) const;
    std::optional<endpoint_id>
    choose_for_suspected(live_request const& request, instant now) const;
    void note_availability(
        endpoint_id const& endpoint, endpoint_notice const& notice,
        instant now);
    /// @returns the time until the first resting engine has rested, zero when
    ///          none rests
    std::chrono::milliseconds shortest_rest(instant now) const;
    void log_attempt_end(live_request const& request, attempt_ended const& end);
    bool report_to_quarantine(
        live_request const& request, attempt_ended const& end, instant now);

    serving_settings const& settings_;
    node_services& services_;
    node_outbox& outbox_;
    quarantine_router& quarantine_;
    clock_reading clock_;
    bool draining_ = false;
    /// Open attempts on each replica without a grant of its owner.
    std::map<endpoint_id, std::uint32_t> ungranted_attempts_;
    /// Endpoints that rest, or have announced their shutdown.
    std::map<endpoint_id, endpoint_availability> availabilities_;
};

static_assert(request_environment<request_services>);

} // namespace camphorpoint
