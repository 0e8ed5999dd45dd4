#include "Serving/key_router.hpp"

#include <fmt/format.h>

#include <charconv>
#include <cstdint>

namespace camphorpoint {

namespace {

key_shard shard_of(resource_id const& resource) {
    unsigned number = 0;
    std::string const& name = resource.name;
    std::from_chars(name.data(), name.data() + name.size(), number);
    return static_cast<key_shard>(number);
}

} // namespace

instant key_router::authority_until(key_shard shard, instant now) const {
    auto const authority =
        services_.ownership.authority_for(key_shard_resource(shard), now);
    return authority ? authority->not_after : instant{};
}

void key_router::on_message(
    node_id const& from, key_permission_request const& request,
    clock_reading const& clock) {
    services_.key_shards.on_permission_request(
        from, request, authority_until(request.shard, clock.now), clock);
}

void key_router::on_message(
    node_id const& /*from*/, key_reply const& reply,
    clock_reading const& clock) {
    services_.keys.on_reply(reply, clock);
}

void key_router::on_message(
    node_id const& from, key_completion const& end,
    clock_reading const& clock) {
    services_.key_shards.on_completion(
        from, end, authority_until(end.shard, clock.now), clock);
}

void key_router::on_message(
    node_id const& /*from*/, key_completion_ack const& noted,
    clock_reading const& /*clock*/) {
    services_.keys.on_completion_ack(noted);
}

void key_router::on_message(
    node_id const& from, key_heartbeat const& heartbeat,
    clock_reading const& clock) {
    services_.key_shards.on_heartbeat(from, heartbeat, clock);
}

void key_router::on_message(
    node_id const& /*from*/, key_handover const& part,
    clock_reading const& clock) {
    services_.key_shards.on_handover(part, clock);
}

void key_router::gained(
    ownership_gained const& claim, clock_reading const& clock) {
    key_claim gained_claim;
    gained_claim.fencing = claim.fencing;
    gained_claim.previous = claim.previous;
    gained_claim.handed_over = claim.planned;
    gained_claim.first = claim.first;
    services_.key_shards.on_shard_gained(
        shard_of(claim.resource), gained_claim, clock);
}

void key_router::lost(resource_id const& shard) {
    services_.key_shards.on_shard_lost(shard_of(shard));
}

void key_router::hand_over(resource_id const& shard, node_id const& successor) {
    services_.key_shards.hand_over(shard_of(shard), successor);
}

void key_router::refresh_owners() {
    for (std::uint32_t shard = 0; shard < key_shard_count; ++shard) {
        auto const known =
            services_.ownership.owner_of(key_shard_resource(shard));
        services_.keys.on_owner_changed(
            static_cast<key_shard>(shard),
            known ? known->owner.node : node_id());
    }
}

void key_router::on_tick(clock_reading const& clock) {
    services_.key_shards.tick(clock);
    services_.keys.tick(clock);
}

std::vector<key_decision> key_router::pump() {
    std::vector<key_action> actions = services_.key_shards.take_actions();
    std::vector<key_action> const entry = services_.keys.take_actions();
    actions.insert(actions.end(), entry.begin(), entry.end());
    std::vector<key_decision> settled;
    for (key_action const& each : actions) {
        if (auto const* const send = std::get_if<key_send>(&each)) {
            std::visit(
                [&](auto const& one) { outbox_.send(send->to, one); },
                send->message);
        } else if (auto const* const done = std::get_if<key_decision>(&each)) {
            settled.push_back(*done);
        } else {
            auto const& skew = std::get<key_clock_skew>(each);
            outbox_.emit(log_event{
                event_code::key_clocks_differ, log_level::warning,
                fmt::format(
                    "peer={} ahead_ms={}", skew.peer.str(),
                    skew.ahead.count())});
        }
    }
    return settled;
}

} // namespace camphorpoint
