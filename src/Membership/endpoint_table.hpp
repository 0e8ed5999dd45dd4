#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Membership/membership_settings.hpp"
#include "Records/instance_record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorpoint {

/// What this node believes of an endpoint.
enum class endpoint_state : std::uint8_t {
    /// May get work.
    live,
    /// Failed direct calls of this node; only this node avoids it.
    suspect,
    /// Gets no new work.
    leaving,
    /// Not in the platform's list.
    gone
};

/// The endpoints of the platform's list, corrected by reports that they leave.
class endpoint_table {
public:
    explicit endpoint_table(membership_settings const& settings)
        : settings_(settings) {}

    /// Takes a new list.
    /// @returns the endpoints that the list itself newly reports as leaving
    std::vector<endpoint_id>
    apply_list(std::vector<endpoint_instance> const& list, instant now);
    /// Takes a report that an endpoint leaves.
    /// @returns true when it is news
    bool report_leaving(endpoint_id const& endpoint, instant now);
    /// Takes the end of a direct call.
    void record_call(endpoint_id const& endpoint, bool succeeded, instant now);
    /// Lets reports end that the list has contradicted for long enough.
    void expire_leaving_reports(instant now);
    /// Lets suspect endpoints be tried again.
    void on_tick(instant now);

    /// @returns endpoints that may get new work, in the order of their names
    std::vector<endpoint_instance> live_endpoints() const;
    /// @returns the endpoint's state
    endpoint_state state_of(endpoint_id const& endpoint) const;
    /// @returns the endpoint's data; null when the list never named it
    endpoint_instance const* find(endpoint_id const& endpoint) const;
    /// @returns a counter that grows with each change
    std::uint64_t change_count() const noexcept { return change_count_; }

private:
    struct entry {
        endpoint_instance instance;
        bool listed = false;
        /// Whether the list that is being read names it.
        bool in_new_list = false;
        /// A report beats a list that says live until then.
        std::optional<instant> leaving_until;
        std::size_t failures = 0;
        std::optional<instant> avoid_until;
    };

    static endpoint_state state_of(entry const& item);
    void remove_unlisted();
    void schedule_retry_check(instant retry_at);

    membership_settings settings_;
    std::map<endpoint_id, entry> entries_;
    std::uint64_t change_count_ = 0;
    std::optional<instant> next_retry_check_;
};

} // namespace camphorpoint
