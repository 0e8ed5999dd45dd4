#include "Telemetry/event_names.hpp"

#include <algorithm>
#include <array>

namespace camphorpoint {

namespace {

constexpr std::array names{
    event_name{event_code::node_started, "node-started"},
    event_name{event_code::node_ready, "node-ready"},
    event_name{event_code::node_draining, "node-draining"},
    event_name{event_code::node_stopped, "node-stopped"},
    event_name{event_code::config_ready, "config-ready"},
    event_name{event_code::config_record_invalid, "config-record-invalid"},
    event_name{event_code::config_place_expired, "config-place-expired"},
    event_name{event_code::config_no_checkpoint, "config-no-checkpoint"},
    event_name{event_code::config_state_adopted, "config-state-adopted"},
    event_name{event_code::config_digest_differs, "config-digest-differs"},
    event_name{event_code::config_stale, "config-stale"},
    event_name{event_code::config_fresh_again, "config-fresh-again"},
    event_name{event_code::config_state_broken, "config-state-broken"},
    event_name{event_code::config_checkpoint_begun, "config-checkpoint-begun"},
    event_name{
        event_code::config_checkpoint_written, "config-checkpoint-written"},
    event_name{event_code::ownership_gained, "ownership-gained"},
    event_name{event_code::ownership_lost, "ownership-lost"},
    event_name{event_code::authority_lapsed, "authority-lapsed"},
    event_name{event_code::authority_regained, "authority-regained"},
    event_name{event_code::claim_appended, "claim-appended"},
    event_name{event_code::control_record_broken, "control-record-broken"},
    event_name{event_code::control_log_trimmed, "control-log-trimmed"},
    event_name{event_code::handover_given_up, "handover-given-up"},
    event_name{event_code::node_suspected, "node-suspected"},
    event_name{event_code::node_declared_dead, "node-declared-dead"},
    event_name{event_code::node_returned, "node-returned"},
    event_name{event_code::node_leaving, "node-leaving"},
    event_name{event_code::endpoint_leaving, "endpoint-leaving"},
    event_name{event_code::suspicion_refuted, "suspicion-refuted"},
    event_name{event_code::answer_delayed, "answer-delayed"},
    event_name{event_code::answer_lost, "answer-lost"},
    event_name{event_code::outcome_unknown, "outcome-unknown"},
    event_name{event_code::store_down, "store-down"},
    event_name{event_code::store_recovered, "store-recovered"},
    event_name{event_code::load_retrying, "load-retrying"},
    event_name{event_code::load_given_up, "load-given-up"},
    event_name{event_code::engine_restarted, "engine-restarted"},
    event_name{event_code::order_unsettled, "order-unsettled"},
    event_name{event_code::order_settled, "order-settled"},
    event_name{event_code::replica_taken_over, "replica-taken-over"},
    event_name{event_code::replica_lost, "replica-lost"},
    event_name{event_code::slot_taken_by_force, "slot-taken-by-force"},
    event_name{event_code::key_clocks_differ, "key-clocks-differ"},
    event_name{event_code::connection_ended, "connection-ended"},
    event_name{event_code::connections_ended, "connections-ended"},
    event_name{event_code::gateway_started, "gateway-started"},
    event_name{event_code::gateway_ready, "gateway-ready"},
    event_name{event_code::gateway_stopping, "gateway-stopping"},
    event_name{event_code::gateway_stopped, "gateway-stopped"},
    event_name{event_code::settings_reloaded, "settings-reloaded"},
    event_name{event_code::dependency_lost, "dependency-lost"},
    event_name{event_code::dependency_regained, "dependency-regained"},
    event_name{event_code::store_gone_back, "store-gone-back"},
    event_name{event_code::store_whole_again, "store-whole-again"},
    event_name{event_code::request_relayed, "request-relayed"},
    event_name{event_code::request_routed, "request-routed"},
    event_name{event_code::request_sent, "request-sent"},
    event_name{event_code::request_waits, "request-waits"},
    event_name{event_code::attempt_ended, "attempt-ended"},
    event_name{event_code::request_ended, "request-ended"},
    event_name{event_code::content_held, "content-held"},
    event_name{event_code::content_cleared, "content-cleared"},
    event_name{event_code::content_kept, "content-kept"},
    event_name{event_code::request_denied, "request-denied"},
    event_name{event_code::request_capped, "request-capped"},
    event_name{event_code::configuration_in_force, "configuration-in-force"},
    event_name{event_code::configuration_rejected, "configuration-rejected"},
    event_name{event_code::version_known, "version-known"},
    event_name{event_code::records_read, "records-read"},
    event_name{event_code::api_key_shared, "api-key-shared"},
    event_name{event_code::stream_resumed, "stream-resumed"},
    event_name{event_code::part_tried, "part-tried"},
    event_name{event_code::software_recorded, "software-recorded"},
    event_name{event_code::stream_stalled, "stream-stalled"},
    event_name{event_code::stream_went_on, "stream-went-on"},
    event_name{event_code::replica_seen, "replica-seen"},
    event_name{event_code::replica_leaving, "replica-leaving"},
    event_name{event_code::replica_gone, "replica-gone"},
    event_name{event_code::replica_suspected, "replica-suspected"},
    event_name{event_code::replica_kept, "replica-kept"},
    event_name{event_code::replica_limited, "replica-limited"},
    event_name{event_code::replica_unlimited, "replica-unlimited"},
    event_name{event_code::rate_limit_unreadable, "rate-limit-unreadable"},
    event_name{event_code::replicas_unreachable, "replicas-unreachable"},
    event_name{event_code::replicas_reachable, "replicas-reachable"},
    event_name{event_code::partition_gained, "partition-gained"},
    event_name{event_code::partition_lost, "partition-lost"},
    event_name{event_code::order_answered, "order-answered"},
    event_name{event_code::replica_reported, "replica-reported"},
    event_name{event_code::load_queued, "load-queued"},
    event_name{event_code::load_turned_away, "load-turned-away"},
    event_name{event_code::replica_brittle, "replica-brittle"},
    event_name{event_code::replica_not_brittle, "replica-not-brittle"},
    event_name{
        event_code::brittle_replica_rejected, "brittle-replica-rejected"},
    event_name{event_code::replica_avoided, "replica-avoided"},
    event_name{event_code::replica_readmitted, "replica-readmitted"},
    event_name{event_code::answer_yielded, "answer-yielded"},
    event_name{event_code::lines_left_out, "lines-left-out"},
};

} // namespace

std::span<event_name const> event_names() noexcept {
    return names;
}

std::string_view to_string(event_code code) noexcept {
    auto const found = std::ranges::find(names, code, &event_name::code);
    return found == names.end() ? "unnamed" : found->name;
}

std::string_view to_string(log_level level) noexcept {
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

} // namespace camphorpoint
