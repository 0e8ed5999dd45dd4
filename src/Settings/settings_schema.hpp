#pragma once

#include "Settings/node_settings.hpp"

#include <chrono>

namespace camphorpoint::internal {

/// Names every setting with its place, range and meaning, in the order of
/// docs/SETTINGS.md. Both the reading and the reference are visits, so that
/// neither can know a key that the other doesn't.
/// @tparam Visitor has section(name), text(key, target, meaning), address(...),
///         time(key, target, least, most, meaning), number(...) and
///         flag(key, target, meaning), policy(key, target, meaning)
template <class Visitor>
void visit_node_section(Visitor& visit, node_settings& all) {
    using namespace std::chrono_literals;
    visit.section("node");
    visit.text("name", all.name, "names this node, as in the platform's list");
    visit.text("failure_domain", all.domain, "where it runs");
    visit.address("caller_address", all.caller_address, "callers' interface");
    visit.address(
        "operator_address", all.operator_address, "operators' interface");
    visit.address(
        "peer_address", all.peer_address, "other nodes, by TCP and UDP");
    visit.time(
        "drain_limit", all.drain_limit, 0ms, 3'600'000ms,
        "a planned stop is cut off after this");
    visit.number(
        "body_limit_bytes", all.body_limit, 1'024, 64LL << 20U,
        "a longer request body is refused");
}

template <class Visitor>
void visit_platform_section(Visitor& visit, node_settings& all) {
    using namespace std::chrono_literals;
    visit.section("platform");
    visit.address("log_address", all.log_address, "the log service");
    visit.address(
        "instance_list_address", all.instance_list_address,
        "the list of instances");
    visit.time(
        "log_poll", all.log_poll, 10ms, 60'000ms,
        "how often the log is read by the thin node");
    visit.time(
        "instance_poll", all.instance_poll, 10ms, 60'000ms,
        "how often the list is read");
    visit.time(
        "report_poll", all.report_poll, 10ms, 60'000ms,
        "how often an owner reads its replicas' reports");
    visit.time(
        "timeout", all.platform_timeout, 10ms, 60'000ms,
        "bounds each call to the platform and each report");
}

template <class Visitor>
void visit_limits_section(Visitor& visit, request_settings& all) {
    using namespace std::chrono_literals;
    visit.section("limits");
    visit.number(
        "most_requests", all.max_requests, 1, 1'000'000,
        "requests that this node carries at once");
    visit.time(
        "longest_deadline", all.max_deadline, 1ms, 86'400'000ms,
        "a longer deadline is refused");
    visit.number(
        "most_asks", all.max_grant_requests, 1, 64,
        "replicas asked for one request");
    visit.number(
        "most_resumes", all.max_resumes, 0, 100,
        "resumes of one stream in a row without a new token");
    visit.time(
        "resume_pause", all.resume_backoff, 1ms, 60'000ms,
        "pause before the first resume; it doubles");
    visit.time(
        "close_wait", all.close_timeout, 1ms, 600'000ms,
        "how long a cancelled attempt's end is waited for");
    visit.time(
        "retry_after", all.retry_after, 1ms, 600'000ms,
        "what callers are told where nothing better is known");
}

template <class Visitor>
void visit_ownership_section(Visitor& visit, ownership_settings& all) {
    using namespace std::chrono_literals;
    visit.section("ownership");
    visit.time(
        "lease", all.lease, 100ms, 600'000ms,
        "how long a holder may give orders after a read of the log's head");
    visit.time(
        "grant_lease", all.grant_lease, 100ms, 86'400'000ms,
        "how long it may still grant places for resident adapters");
    visit.flag(
        "engines_refuse_busy_evictions", all.engines_refuse_busy_evictions,
        "true when every engine refuses to evict an adapter in use");
    visit.number(
        "clock_rate_error_ppm", all.clock_rate_error, 0, 100'000,
        "how much two nodes' monotonic clocks may differ, in millionths");
    visit.time(
        "order_travel", all.command_transit, 1ms, 600'000ms,
        "longest time that a sent order can be under way");
    visit.time(
        "read_lag", all.read_lag, 0ms, 600'000ms,
        "how far the log's reads may lag behind its head");
    visit.time(
        "poll", all.poll, 10ms, 60'000ms,
        "how often the control stream is read");
    visit.time(
        "retention", all.retention, 60'000ms, 31'536'000'000ms,
        "how long the log keeps a record of the control stream");
    visit.time(
        "rank_delay", all.rank_delay, 0ms, 600'000ms,
        "how much later each further node claims");
    visit.time(
        "rebalance", all.rebalance, 100ms, 86'400'000ms,
        "shortest time between two planned moves");
    visit.time(
        "stop_limit", all.stop_limit, 10ms, 600'000ms,
        "how long a holder has to stop before a handover is given up");
    visit.time(
        "accept_limit", all.accept_limit, 10ms, 600'000ms,
        "how long a successor has to accept a table");
}

template <class Visitor>
void visit_configuration_section(Visitor& visit, follower_settings& all) {
    using namespace std::chrono_literals;
    visit.section("configuration");
    visit.number(
        "reads_per_second", all.reads_per_second, 1, 100'000,
        "reads that all nodes together may ask of the log in a second");
    visit.time(
        "shortest_poll", all.shortest_poll, 10ms, 60'000ms,
        "a node reads no more often");
    visit.time(
        "longest_poll", all.longest_poll, 10ms, 600'000ms,
        "a node reads no less often");
    visit.time(
        "read_timeout", all.read_timeout, 10ms, 600'000ms,
        "a read without answer counts as failed");
    visit.time(
        "slow_read", all.slow_read, 10ms, 600'000ms,
        "after this peers are asked meanwhile");
    visit.number(
        "fanout", all.fanout, 1, 64, "peers that get new records unasked");
    visit.time(
        "max_staleness", all.max_staleness, 100ms, 86'400'000ms,
        "past this the configuration counts as stale");
    visit.policy(
        "when_stale", all.when_stale,
        "serve, refuse-when-isolated or refuse-when-unconfirmed");
}

template <class Visitor>
void visit_keys_section(Visitor& visit, key_settings& all) {
    using namespace std::chrono_literals;
    visit.section("keys");
    visit.time(
        "retention", all.retention, 1'000ms, 604'800'000ms,
        "how long an idempotency key is good for");
    visit.time(
        "ahead_limit", all.ahead_limit, 0ms, 600'000ms,
        "how far a key's time may be ahead of the node's clock");
    visit.time(
        "clock_error", all.clock_error, 0ms, 600'000ms,
        "how far two nodes' calendar clocks may be apart");
    visit.number(
        "most_records", all.most_records, 1, 100'000'000,
        "records that one node keeps");
    visit.number(
        "most_answer_bytes", all.most_answer_bytes, 0, 16LL << 30U,
        "kept answers of one node together");
    visit.number(
        "longest_answer_bytes", all.longest_answer, 0, 16LL << 20U,
        "a longer answer is not kept");
}

template <class Visitor>
void visit_membership_section(Visitor& visit, membership_settings& all) {
    using namespace std::chrono_literals;
    visit.section("membership");
    visit.time(
        "period", all.probe_period, 10ms, 60'000ms,
        "how often nodes are probed");
    visit.number(
        "neighbours", all.neighbours, 1, 16,
        "neighbours probed each period, beside one random node");
    visit.time(
        "ack_limit", all.ack_timeout, 1ms, 60'000ms,
        "how long a probe waits before others are asked to probe");
    visit.number(
        "helpers", all.indirect_probers, 1, 16, "how many others are asked");
    visit.time(
        "suspicion", all.suspicion_timeout, 10ms, 600'000ms,
        "how long a suspected node has to refute");
    visit.time(
        "hold", all.leaving_report_lifetime, 10ms, 86'400'000ms,
        "how long a report is believed against the platform's list");
}

/// Visits every setting.
template <class Visitor>
void visit_settings(Visitor& visit, node_settings& all) {
    visit_node_section(visit, all);
    visit_platform_section(visit, all);
    visit_limits_section(visit, all.requests);
    visit_ownership_section(visit, all.ownership);
    visit_configuration_section(visit, all.configuration);
    visit_keys_section(visit, all.keys);
    visit_membership_section(visit, all.members);
}

} // namespace camphorpoint::internal
