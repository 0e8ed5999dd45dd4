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

/// How an entry node carries requests. docs/operating/requests.md says how an
/// operator sees each of these at work.
struct request_settings {
    /// Requests that one entry node carries at once. A request takes about
    /// 1 KB here, so the bound keeps them under 16 MB; at the design size 33
    /// requests a second of 30 s each are 1,000.
    std::size_t max_requests = 16'384;
    /// A longer deadline is an error of the caller.
    std::chrono::milliseconds max_deadline{3'600'000};
    /// Replicas asked for one request. More would multiply the asks just when
    /// all queues are full.
    std::uint32_t max_grant_requests = 4;
    /// Resumes of one stream in a row without a new token.
    std::uint32_t max_resumes = 3;
    /// Pause before the first resume; doubled before each further one.
    std::chrono::milliseconds resume_backoff{50};
    /// How long a request whose endpoint has ended waits for the word of the
    /// nodes that count the ends of its content.
    std::chrono::milliseconds quarantine_decision_timeout{20};
    /// How long the end of a cancelled attempt is waited for before its grant
    /// is let go all the same.
    std::chrono::milliseconds close_timeout{5'000};
    /// How often owners are told what runs on their replicas.
    std::chrono::milliseconds heartbeat_period{1'000};
    /// How long an owner on whose replicas nothing runs any more still gets
    /// heartbeats: they repair a lost release.
    std::chrono::milliseconds idle_owner_heartbeat_period{10'000};
    /// When a caller should come back, where nothing better is known.
    std::chrono::milliseconds retry_after{1'000};
};

/// All that a node's decisions are told at their start. Each part gives the
/// reasons for its defaults; ownership and membership must be the same on all
/// nodes.
struct serving_settings {
    /// This node, as the platform's list names it.
    node_instance self;
    /// When the process started, in milliseconds of the calendar clock: tells
    /// this run from the node's earlier ones.
    std::uint64_t start_time_ms = 0;
    /// Of all random choices.
    std::uint64_t seed = 1;
    /// The weight store that all replicas load from.
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
    /// For each owned replica; its id, slots and batch come from the list.
    scheduler_settings scheduling;
    store_limits loading;
};

} // namespace camphorpoint
