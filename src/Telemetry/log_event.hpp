#pragma once

#include <cstdint>
#include <string>

namespace camphorpoint {

/// How serious a log event is.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// The numbered kinds of log events. docs/EVENTS.md lists each number with its
/// meaning and what to do; a test fails when the two differ. Hundreds by
/// module: 1 node, 2 configuration, 3 ownership, 4 membership, 5 requests,
/// 6 scheduling and loads, 7 keys, 8 ports, 9 gateway.
enum class event_code : std::uint16_t {
    node_started = 101,
    node_ready = 102,
    node_draining = 103,
    node_stopped = 104,
    config_ready = 201,
    config_record_invalid = 202,
    config_place_expired = 203,
    config_no_checkpoint = 204,
    config_state_adopted = 205,
    config_digest_differs = 206,
    config_stale = 207,
    config_fresh_again = 208,
    config_state_broken = 209,
    config_checkpoint_begun = 210,
    config_checkpoint_written = 211,
    ownership_gained = 301,
    ownership_lost = 302,
    authority_lapsed = 303,
    authority_regained = 304,
    claim_appended = 305,
    control_record_broken = 306,
    control_log_trimmed = 307,
    handover_given_up = 308,
    node_suspected = 401,
    node_declared_dead = 402,
    node_returned = 403,
    node_leaving = 404,
    endpoint_leaving = 405,
    suspicion_refuted = 406,
    answer_delayed = 501,
    answer_lost = 502,
    outcome_unknown = 503,
    store_down = 601,
    store_recovered = 602,
    load_retrying = 603,
    load_given_up = 604,
    engine_restarted = 605,
    order_unsettled = 606,
    order_settled = 607,
    replica_taken_over = 608,
    replica_lost = 609,
    slot_taken_by_force = 610,
    key_clocks_differ = 701,
    connection_ended = 801,
    connections_ended = 802,
    gateway_started = 901,
    gateway_ready = 902,
    gateway_stopping = 903,
    gateway_stopped = 904,
    settings_reloaded = 905,
    dependency_lost = 906,
    dependency_regained = 907,
    store_gone_back = 908,
    store_whole_again = 909,
    request_relayed = 910,
    request_routed = 911,
    request_sent = 912,
    request_waits = 913,
    attempt_ended = 914,
    request_ended = 915,
    content_held = 916,
    content_cleared = 917,
    content_kept = 918,
    request_denied = 919,
    request_capped = 920,
    configuration_in_force = 921,
    configuration_rejected = 922,
    version_known = 923,
    records_read = 924,
    api_key_shared = 925,
    stream_resumed = 926,
    part_tried = 927,
    software_recorded = 928,
    stream_stalled = 929,
    stream_went_on = 930,
    replica_seen = 931,
    replica_leaving = 932,
    replica_gone = 933,
    replica_suspected = 934,
    replica_kept = 935,
    replica_limited = 936,
    replica_unlimited = 937,
    rate_limit_unreadable = 938,
    replicas_unreachable = 939,
    replicas_reachable = 940,
    partition_gained = 941,
    partition_lost = 942,
    order_answered = 943,
    replica_reported = 944,
    load_queued = 945,
    load_turned_away = 946,
    replica_brittle = 947,
    replica_not_brittle = 948,
    brittle_replica_rejected = 949,
    replica_avoided = 950,
    replica_readmitted = 951,
    answer_yielded = 952,
    lines_left_out = 991
};

/// One line of the log.
struct log_event {
    event_code code = event_code::node_started;
    log_level level = log_level::info;
    /// What the event's line says, as key=value pairs.
    std::string detail;
};

} // namespace camphorpoint
