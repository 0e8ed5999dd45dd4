#pragma once

#include "Config/change_publisher.hpp"
#include "Config/checkpoint_writer.hpp"
#include "Config/follower_settings.hpp"
#include "Keys/key_settings.hpp"
#include "Limits/endpoint_health.hpp"
#include "Limits/retry_budget.hpp"
#include "Limits/service_messages.hpp"
#include "Loading/store_limits.hpp"
#include "Membership/membership_settings.hpp"
#include "Ownership/ownership_settings.hpp"
#include "Placement/placement_settings.hpp"
#include "Records/instance_record.hpp"
#include "Scheduling/scheduler_settings.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorpoint {

/// Settings of requests at their entry node. docs/operating/requests.md
/// describes their effects for operators.
struct request_settings {
    /// Maximum number of requests at one entry node. A request takes about 1
    /// KB, so this limits them to 16 MB. At the design size, 33 requests per
    /// second of 30 s each are 1,000 requests.
    std::size_t max_requests = 16'384;
    /// Requests with a longer deadline are refused.
    std::chrono::milliseconds max_deadline{3'600'000};
    /// Maximum number of endpoints that are tried for one request. More would
    /// multiply the load of grant requests when all queues are full.
    std::uint32_t max_grant_requests = 4;
    /// Maximum number of successive resumes of one stream without a new token.
    std::uint32_t max_resumes = 3;
    /// Delay before the first resume. It doubles for each further one.
    std::chrono::milliseconds resume_backoff{50};
    /// How long a request whose endpoint crashed waits for the quarantine
    /// decision of the nodes that count the crashes.
    std::chrono::milliseconds quarantine_decision_timeout{20};
    /// How long to wait for the end of a cancelled attempt. The grant is
    /// released afterwards in any case.
    std::chrono::milliseconds close_timeout{5'000};
    /// Interval of the heartbeats that list this node's requests for owners.
    std::chrono::milliseconds heartbeat_period{1'000};
    /// How long an owner gets heartbeats after its replicas ran the last
    /// request of this node. They repair a lost release message.
    std::chrono::milliseconds idle_owner_heartbeat_period{10'000};
    /// When a caller should retry, unless a more specific delay is known.
    std::chrono::milliseconds retry_after{1'000};
};

/// Settings of all decision services of a node. Each part explains its
/// defaults. The settings of ownership and membership must be the same on all
/// nodes.
struct serving_settings {
    /// This node as listed by the platform.
    node_instance self;
    /// Start time of the process in milliseconds of the calendar clock.
    /// Distinguishes it from earlier processes of the node.
    std::uint64_t start_time_ms = 0;
    /// Seed of all random choices.
    std::uint64_t seed = 1;
    /// Name of the weight store from which all replicas load.
    std::string store = "weights";

    request_settings requests;
    membership_settings members;
    ownership_settings ownership;
    follower_settings configuration;
    publisher_settings publishing;
    checkpoint_settings checkpoints;
    key_settings key_owner;
    entry_key_settings keys;
    placement_settings placement;
    retry_settings retries;
    service_settings services;
    health_settings health;
    /// Applies to each owned replica. Its id, adapter slots and batch limit
    /// come from the platform's list.
    scheduler_settings scheduling;
    store_limits loading;
};

} // namespace camphorpoint
