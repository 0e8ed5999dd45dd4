#include "Delivery/stream_keepers.hpp"
#include "Gateway/peer_messenger.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Nodes answer within a few milliseconds; an unanswered question is repeated,
/// since a datagram may be lost.
constexpr milliseconds origin_answer_timeout{50};
constexpr int max_origin_questions = 3;
/// A node that has just started does not know all nodes yet, so that its
/// ranking differs from that of the others. It asks more of them.
constexpr duration peers_known_after = std::chrono::seconds(4);
constexpr std::size_t keepers_asked_after_start = 8;
/// Streams that are announced at a time when a second software version appears.
constexpr std::size_t max_deferred_per_broadcast = 64;

peer_stream_answer to_wire(stream_key stream, origin_evidence const& evidence) {
    peer_stream_answer answer;
    answer.stream = static_cast<std::uint64_t>(stream);
    answer.state = evidence.origin.state;
    answer.software = static_cast<std::uint64_t>(evidence.origin.software);
    answer.versions = evidence.versions.knowledge;
    answer.version = static_cast<std::uint64_t>(evidence.versions.software);
    return answer;
}

origin_evidence from_wire(peer_stream_answer const& answer) {
    return {
        {answer.state, software_key{answer.software}},
        {answer.versions, software_key{answer.version}}};
}

} // namespace

void peer_messenger::announce_stream(stream_record const& record) {
    std::size_t const count = stream_keeper_count(state_->peers.size() + 1);
    for (std::string const& each :
         rank_stream_keepers(record.stream, state_->peers, count)) {
        peer_datagram message;
        message.stream_records.push_back(
            {static_cast<std::uint64_t>(record.stream),
             static_cast<std::uint64_t>(record.software)});
        send(each, std::move(message));
    }
}

void peer_messenger::record_stream(
    service_id const& service, stream_record const& record) {
    instant const now = boot_clock::now();
    stream_origins_.add(record, now);
    if (state_->stream_versions(service, now).only() == record.software) {
        stream_origins_.defer_announcement(service, record, now);
    } else {
        announce_stream(record);
    }
}

void peer_messenger::stream_completed(stream_key stream) {
    stream_origins_.cancel_announcement(stream);
}

// Streams that began while one version served alone were announced to no node.
// When a second version appears, the origin of those that run is needed.
void peer_messenger::announce_deferred_streams(instant now) {
    for (service_id const& service : stream_origins_.deferred_services()) {
        if (state_->stream_versions(service, now).only()) {
            continue;
        }
        for (stream_record const& each : stream_origins_.take_deferred(
                 service, max_deferred_per_broadcast, now)) {
            announce_stream(each);
        }
    }
}

origin_evidence peer_messenger::evidence_of(
    stream_key stream, service_id const& service, instant now) {
    return {
        stream_origins_.find(stream, now),
        state_->stream_versions(service, now)};
}

asio::awaitable<stream_resumption>
peer_messenger::find_stream_origin(stream_key stream, service_id service) {
    instant const began = boot_clock::now();
    stream_resumption result;
    std::vector<origin_evidence> evidence{evidence_of(stream, service, began)};
    if (evidence.front().origin.state != origin_state::unknown) {
        result.choice = choose_resumption(evidence);
        co_return result;
    }
    bool const just_started = began < started_at_ + peers_known_after;
    std::size_t const count =
        just_started ? keepers_asked_after_start
                     : stream_keeper_count(state_->peers.size() + 1) +
                           extra_keepers_asked;
    auto const keepers = rank_stream_keepers(stream, state_->peers, count);
    result.asked = static_cast<unsigned>(keepers.size());
    peer_stream_question const question{
        ++last_stream_question_, static_cast<std::uint64_t>(stream),
        service.str(),
        static_cast<std::uint64_t>(state_->route_changes.fingerprint()),
        state_->configuration.version};
    asio::steady_timer timer(state_->io);
    pending_stream_question& pending =
        pending_stream_questions_[question.number];
    pending.timer = &timer;
    pending.asked = keepers.size();
    for (int each = 0; each < max_origin_questions && !pending.settled();
         ++each) {
        timer.expires_after(origin_answer_timeout);
        ask_stream_keepers(question, keepers);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    auto const answered = pending_stream_questions_.extract(question.number);
    for (auto const& [from, answer] : answered.mapped().answers) {
        evidence.push_back(answer);
    }
    result.answered = static_cast<unsigned>(evidence.size() - 1);
    result.choice = choose_resumption(evidence);
    co_return result;
}

void peer_messenger::ask_stream_keepers(
    peer_stream_question const& question,
    std::vector<std::string> const& keepers) {
    auto const& answers = pending_stream_questions_.at(question.number).answers;
    for (std::string const& each : keepers) {
        if (!answers.contains(each)) {
            peer_datagram message;
            message.stream_questions.push_back(question);
            send(each, std::move(message));
        }
    }
}

bool peer_messenger::pending_stream_question::settled() const {
    bool const found = std::ranges::any_of(answers, [](auto const& each) {
        return each.second.origin.state != origin_state::unknown;
    });
    return found || answers.size() >= asked;
}

void peer_messenger::handle_stream_messages(
    peer_datagram const& message, instant now) {
    for (peer_stream_record const& each : message.stream_records) {
        stream_origins_.add(
            {stream_key{each.stream}, software_key{each.software}}, now);
    }
    peer_datagram reply;
    for (peer_stream_question const& each : message.stream_questions) {
        stream_key const stream{each.stream};
        origin_evidence evidence =
            evidence_of(stream, service_id(each.service), now);
        // One of the nodes has not read the newest configuration yet, by which
        // the route may have moved. An asking node that has not can't tell at
        // which service the stream began.
        bool const same_routes = route_fingerprint{each.routes} ==
                                 state_->route_changes.fingerprint();
        bool const asker_is_late =
            each.configuration < state_->configuration.version;
        if (!same_routes && asker_is_late) {
            evidence.versions = {version_knowledge::several, {}};
        } else if (!same_routes && evidence.versions.only()) {
            evidence.versions.knowledge = version_knowledge::seen;
        }
        auto answer = to_wire(stream, evidence);
        answer.number = each.number;
        reply.stream_answers.push_back(answer);
    }
    if (!reply.empty()) {
        send(message.from, std::move(reply));
    }
    for (peer_stream_answer const& each : message.stream_answers) {
        auto const found = pending_stream_questions_.find(each.number);
        if (found == pending_stream_questions_.end()) {
            continue;
        }
        found->second.answers[message.from] = from_wire(each);
        if (found->second.settled()) {
            found->second.timer->cancel();
        }
    }
}

} // namespace camphorpoint
