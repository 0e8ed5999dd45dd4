#include "Core/hash.hpp"
#include "Gateway/peer_messenger.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// A controller in the same region answers a question for a slot within this
/// time. An unanswered question is repeated once, since a datagram may be lost.
constexpr milliseconds slot_answer_timeout{30};
constexpr int max_slot_questions = 2;
/// A controller that has not answered is not asked again for this long.
constexpr milliseconds unanswered_slot_delay{100};
/// A report to the controller of a brittle replica is sent in this many copies:
/// a slot whose end is not reported stays unused.
constexpr int report_copies = 2;
/// A node that has controlled a replica for this long has counted all requests
/// that run there.
constexpr duration counting_time = std::chrono::seconds(3);
/// Nodes repeat that a service is brittle while answers say so.
constexpr duration brittleness_repeat_time = std::chrono::seconds(5);

} // namespace

bool peer_messenger::is_brittle(endpoint_id const& at) const {
    replica const* const target = std::as_const(state_->replicas).find(at);
    return target != nullptr && state_->replicas.is_brittle(*target);
}

bool peer_messenger::apply_brittleness(
    peer_brittle_service const& message, std::string_view by, instant now) {
    instant const named_at = now - milliseconds(message.age_ms);
    bool const news = state_->replicas.mark_brittle(
        service_id(message.service), message.max_rejections, named_at);
    if (news) {
        state_->log_event(
            log_line(event_code::replica_brittle, log_level::warning)
                .with("service", message.service)
                .with("rejections", message.max_rejections)
                .with("by", by));
    }
    return news;
}

std::vector<peer_brittle_service>
peer_messenger::brittle_services(instant now) const {
    std::vector<peer_brittle_service> found;
    for (auto const& [service, each] : state_->replicas.brittle_services()) {
        duration const age = now - each.named_at;
        if (age < brittleness_repeat_time) {
            found.push_back(
                {service.str(), each.max_rejections,
                 clamped_milliseconds(age)});
        }
    }
    return found;
}

bool peer_messenger::end_brittleness(
    endpoint_id const& at, instant sent_at, std::string_view by) {
    bool const news = state_->replicas.clear_brittle(at, sent_at);
    if (news) {
        state_->log_event(log_line(event_code::replica_not_brittle)
                              .with("replica", at.str())
                              .with("by", by));
    }
    return news;
}

void peer_messenger::tell_brittleness_end(
    endpoint_id const& at, bool news, instant now) {
    auto const holder = lease_holders_.find(partition_of(at));
    if (holder == lease_holders_.end() ||
        holder->second == state_->own_address ||
        !state_->replicas.begin_telling_brittleness_end(at, news, now)) {
        return;
    }
    replica const* const target = std::as_const(state_->replicas).find(at);
    duration const age = now - target->not_brittle_at;
    peer_datagram report;
    report.brittleness_ends.push_back(
        {fleet::id_hash(at),
         clamped_milliseconds(std::chrono::ceil<milliseconds>(age))});
    send(holder->second, std::move(report));
}

void peer_messenger::report_brittleness(
    endpoint_id const& at, std::optional<unsigned> max_rejections,
    instant sent_at) {
    if (!max_rejections) {
        bool const news = end_brittleness(at, sent_at, "answer");
        tell_brittleness_end(at, news, boot_clock::now());
        return;
    }
    replica const* const target = state_->replicas.find(at);
    if (target == nullptr) {
        return;
    }
    peer_brittle_service const message{
        target->record.service.str(), *max_rejections, 0};
    if (apply_brittleness(message, "answer", boot_clock::now())) {
        peer_datagram report;
        report.brittle_services.push_back(message);
        send_all(report);
    }
}

void peer_messenger::report_rejection(
    endpoint_id const& at, std::uint64_t number) {
    // A request without a slot was sent before this node knew that the replica
    // is brittle.
    peer_rejection const rejection{
        fleet::id_hash(at), number == 0 ? ++last_permit_request_ : number};
    auto const holder = lease_holders_.find(partition_of(at));
    if (holder == lease_holders_.end()) {
        return;
    }
    if (holder->second == state_->own_address) {
        handle_rejection(rejection, state_->own_address, boot_clock::now());
        return;
    }
    for (int copy = 0; copy < report_copies; ++copy) {
        peer_datagram report;
        report.rejections.push_back(rejection);
        send(holder->second, std::move(report));
    }
}

void peer_messenger::handle_rejection(
    peer_rejection const& message, std::string const& from, instant now) {
    auto const found = slot_grants_.find(message.replica);
    replica const* const at = state_->replicas.find_by_hash(message.replica);
    if (found == slot_grants_.end() || at == nullptr) {
        return;
    }
    bool const news = found->second.on_rejection(
        {hash_text(from), message.number},
        request_tracker_.running(message.replica), now);
    if (news) {
        state_->log_event(
            log_line(event_code::brittle_replica_rejected, log_level::warning)
                .with("replica", at->record.id.str())
                .with("room", found->second.room()));
    }
}

std::optional<peer_permit_reply> peer_messenger::grant_slot(
    peer_permit_request const& request, std::string const& from, instant now) {
    std::uint64_t const hash = request.limit.replica;
    replica const* const at = state_->replicas.find_by_hash(hash);
    // Guards against two nodes that both grant the slots of a replica.
    if (at == nullptr || !is_lease_holder(at->record.id) ||
        !state_->leases.controls(partition_of(at->record.id), now)) {
        slot_grants_.erase(hash);
        return std::nullopt;
    }
    peer_permit_reply reply;
    reply.number = request.number;
    // Guards against a node that is refused for as long as others, which know
    // that the replica is no longer brittle, fill it beyond its slots: without
    // a slot no answer of the replica would tell that node.
    if (!state_->replicas.is_brittle(*at) &&
        fleet::not_brittle_since(
            *at, now - milliseconds(request.limit.age_ms))) {
        slot_grants_.erase(hash);
        reply.granted = true;
        reply.unlimited = true;
        return reply;
    }
    auto const gained_at =
        state_->leases.exclusive_since(partition_of(at->record.id));
    bool const counted = gained_at && now >= *gained_at + counting_time;
    slot_grants& grants =
        slot_grants_
            .try_emplace(
                hash, at->record.slots, request.max_rejections, counted, now)
            .first->second;
    grants.set_max_rejections(request.max_rejections);
    rate_permit const permit = grants.request(
        {hash_text(from), request.number}, request_tracker_.running(hash),
        milliseconds(request.budget_ms), now);
    reply.granted = permit.granted;
    reply.wait_ms =
        clamped_milliseconds(std::chrono::ceil<milliseconds>(permit.wait));
    return reply;
}

asio::awaitable<slot_permit>
peer_messenger::request_slot(endpoint_id at, duration budget) {
    slot_permit permit{{false, unanswered_slot_delay}, 0};
    replica const* const target = state_->replicas.find(at);
    auto const holder = lease_holders_.find(partition_of(at));
    auto const brittleness = target == nullptr
                                 ? std::nullopt
                                 : state_->replicas.brittleness(*target);
    if (!brittleness || holder == lease_holders_.end()) {
        co_return permit;
    }
    peer_permit_request request;
    request.number = permit.number = ++last_permit_request_;
    request.limit.replica = fleet::id_hash(at);
    request.limit.age_ms =
        clamped_milliseconds(boot_clock::now() - brittleness->named_at);
    request.budget_ms = clamped_milliseconds(budget);
    request.for_slot = true;
    request.max_rejections = brittleness->max_rejections;
    std::string const controller = holder->second;
    std::optional<peer_permit_reply> reply;
    if (controller == state_->own_address) {
        reply = grant_slot(request, controller, boot_clock::now());
    }
    bool const remote = controller != state_->own_address;
    for (int each = 0; remote && !reply && each < max_slot_questions; ++each) {
        reply =
            co_await ask_controller(controller, request, slot_answer_timeout);
    }
    if (reply && reply->unlimited) {
        end_brittleness(at, brittleness->named_at + duration(1), "controller");
    }
    if (reply) {
        permit.permit = {reply->granted, milliseconds(reply->wait_ms)};
    } else {
        state_->replicas.mark_unanswered(
            at, boot_clock::now() + unanswered_slot_delay);
    }
    co_return permit;
}

void peer_messenger::drop_unused_grants() {
    std::erase_if(slot_grants_, [&](auto const& each) {
        replica const* const at = state_->replicas.find_by_hash(each.first);
        return at == nullptr || !state_->replicas.is_brittle(*at) ||
               !is_lease_holder(at->record.id);
    });
}

int peer_messenger::copies_of_report(endpoint_id const& at) const {
    return is_brittle(at) ? report_copies : 1;
}

} // namespace camphorpoint
