#include "Serving/config_router.hpp"

#include "Config/config_record.hpp"

#include <fmt/format.h>

#include <utility>

namespace camphorpoint {

namespace {

publish_ended to_publish_ended(publish_report const& report) {
    publish_ended result;
    result.number = report.number;
    result.accepted = report.how == publish_end::accepted;
    result.known = report.how != publish_end::unknown;
    result.offset = report.offset;
    result.problems = report.problems;
    for (profile_conflict const& each : report.conflicts) {
        result.problems.push_back(fmt::format(
            "{}: built on revision {}, but {} is in force", each.name.str(),
            each.base_revision, each.current_revision));
    }
    return result;
}

} // namespace

void config_router::carry_out(config_actions const& actions) {
    for (config_action const& each : actions) {
        if (auto const* const read = std::get_if<config_read>(&each)) {
            outbox_.emit(read_log{log_stream::configuration, read->from});
        } else if (auto const* const send = std::get_if<config_send>(&each)) {
            std::visit(
                [&](auto const& one) { outbox_.send(send->to, one); },
                send->message);
        } else if (auto const* const event = std::get_if<log_event>(&each)) {
            outbox_.emit(*event);
        }
    }
}

void config_router::carry_out(std::vector<publish_action> const& actions) {
    for (publish_action const& each : actions) {
        if (auto const* const append = std::get_if<publish_append>(&each)) {
            outbox_.append(
                {append_source::change, append->append},
                log_stream::configuration, append->data);
        } else {
            outbox_.emit(to_publish_ended(std::get<publish_report>(each)));
        }
    }
}

void config_router::on_batch(log_batch const& batch, instant now) {
    carry_out(services_.follower.on_batch(batch, now));
    carry_out(
        services_.publisher.on_progress(services_.follower.current(), now));
}

void config_router::on_read_failed(instant now) {
    carry_out(services_.follower.on_read_failed(now));
}

void config_router::on_append_ended(
    append_origin origin, log_append_ended const& end, instant now) {
    if (origin.source == append_source::checkpoint) {
        services_.checkpoints.on_append_ended(origin.number, end.how, now);
        return;
    }
    carry_out(services_.publisher.on_append_ended(
        origin.number, end.how, end.offset, now));
}

void config_router::on_peer(
    node_id const& from, config_message const& message, instant now) {
    carry_out(services_.follower.on_peer(from, message, now));
    carry_out(
        services_.publisher.on_progress(services_.follower.current(), now));
}

void config_router::require_offset(
    log_offset offset, node_id const& peer, instant now) {
    if (offset > services_.follower.current().next()) {
        carry_out(services_.follower.needs(offset, peer, now));
    }
}

void config_router::on_publish(publish_request const& request, instant now) {
    decoded_record const record = decode(request.record);
    publish_ended refused;
    refused.number = request.number;
    if (record.has_error()) {
        refused.problems = {record.error().what};
        outbox_.emit(refused);
        return;
    }
    auto const* const edit = std::get_if<change>(&record.value());
    if (edit == nullptr) {
        refused.problems = {"only a change can be published"};
        outbox_.emit(refused);
        return;
    }
    carry_out(services_.publisher.publish(
        request.number, *edit, services_.follower.current(), now));
}

void config_router::on_tick(instant now, wall_time wall) {
    carry_out(services_.follower.on_tick(now));
    carry_out(
        services_.publisher.on_progress(services_.follower.current(), now));
    for (checkpoint_action const& each :
         services_.checkpoints.on_tick(services_.follower, peers_, now, wall)) {
        if (auto const* const append = std::get_if<checkpoint_append>(&each)) {
            outbox_.append(
                {append_source::checkpoint, append->append},
                log_stream::configuration, append->data);
        } else {
            outbox_.emit(std::get<log_event>(each));
        }
    }
}

void config_router::refresh_peers() {
    peers_.clear();
    for (live_node const& each : services_.members.live_nodes()) {
        peers_.push_back(each.id);
    }
    services_.follower.set_peers(peers_);
}

} // namespace camphorpoint
