#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Membership/membership_settings.hpp"
#include "Records/answer_trace.hpp"
#include "Records/instance_record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorpoint {

/// State of an endpoint as this node sees it.
enum class endpoint_state : std::uint8_t {
    /// May receive new requests.
    live,
    /// Calls of this node failed repeatedly. Only this node avoids the
    /// endpoint.
    suspect,
    /// Receives no new requests.
    leaving,
    /// Not in the platform's instance list.
    gone
};

/// The endpoints in the platform's instance list, corrected by reports that an
/// endpoint is leaving and by the results of this node's calls.
class endpoint_table {
public:
    explicit endpoint_table(membership_settings const& settings)
        : settings_(settings) {}

    /// Applies a new instance list.
    /// @returns the endpoints that the list reports as leaving for the first
    /// time
    std::vector<endpoint_id>
    apply_list(std::vector<endpoint_instance> const& list, instant now);
    /// Applies a report that an endpoint is leaving.
    /// @returns true if the endpoint was not known to be leaving
    bool report_leaving(endpoint_id const& endpoint, instant now);
    /// Records the result of a call of this node to an endpoint. Unknown
    /// endpoints are ignored.
    void record_call(endpoint_id const& endpoint, bool succeeded, instant now);
    /// Records a call of this node that reached its deadline. Unknown endpoints
    /// are ignored.
    /// @param trace how the answer arrived until then
    void record_timeout(
        endpoint_id const& endpoint, answer_trace const& trace, instant now);
    /// Removes reports that are older than `leaving_report_lifetime`, if the
    /// list says that the endpoint is live or does not contain it.
    void expire_leaving_reports(instant now);
    /// Makes suspect endpoints available again whose retry delay is over.
    void on_tick(instant now);

    /// @returns the endpoints that may receive new requests, in the order of
    /// their ids
    std::vector<endpoint_instance> live_endpoints() const;
    /// @returns the endpoint's state
    endpoint_state state_of(endpoint_id const& endpoint) const;
    /// @returns the endpoint's entry in the instance list; null if the list
    /// does not contain the endpoint
    endpoint_instance const* find(endpoint_id const& endpoint) const;
    /// @returns a counter that grows with each change of the table
    std::uint64_t change_count() const noexcept { return change_count_; }

private:
    struct entry {
        endpoint_instance instance;
        bool listed = false;
        /// Whether the list that is being applied contains the endpoint.
        bool in_new_list = false;
        /// Set by a report that the endpoint is leaving. Until this time the
        /// report overrides a list that shows the endpoint as live.
        std::optional<instant> leaving_until;
        std::size_t failures = 0;
        /// Since when the endpoint has sent nothing, by the calls that reached
        /// their deadlines; empty after a call that was answered.
        std::optional<instant> silent_since;
        /// Calls since then that reached their deadlines and are not among the
        /// failures yet.
        std::size_t unanswered = 0;
        std::optional<instant> avoid_until;
    };

    static endpoint_state state_of(entry const& item);
    void add_failures(entry& item, std::size_t count, instant now);
    void remove_unlisted();
    void schedule_retry_check(instant retry_at);

    membership_settings settings_;
    std::map<endpoint_id, entry> entries_;
    std::uint64_t change_count_ = 0;
    std::optional<instant> next_retry_check_;
};

} // namespace camphorpoint
