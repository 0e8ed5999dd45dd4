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
/// ranking differs from that of the others. It asks more of them, and so does
/// one to which the store does not show that its view is current: nodes that
/// are cut off together are seldom all those that one of them asks.
constexpr duration peers_known_after = std::chrono::seconds(4);
constexpr std::size_t max_keepers_asked = 8;
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
    // A version that was read a moment ago must not be missing.
    state_->software.forget_cached(service);
    return {
        stream_origins_.find(stream, now),
        state_->stream_versions(service, now)};
}

asio::awaitable<stream_resumption>
peer_messenger::find_stream_origin(stream_key stream, service_id service) {
    instant const began = boot_clock::now();
    stream_resumption result;
    origin_evidence const own = evidence_of(stream, service, began);
    if (own.origin.state != origin_state::unknown) {
        result.choice = choose_resumption({&own, 1}, {});
        co_return result;
    }
    view_reader_->request(began);
    bool const just_started = began < started_at_ + peers_known_after;
    std::size_t const count =
        just_started ? max_keepers_asked
                     : stream_keeper_count(state_->peers.size() + 1) +
                           extra_keepers_asked;
    std::uint64_t const number = ++last_stream_question_;
    pending_stream_question& pending = pending_stream_questions_[number];
    pending.question = {
        number, static_cast<std::uint64_t>(stream), service.str(),
        static_cast<std::uint64_t>(state_->route_changes.fingerprint()),
        state_->configuration.version};
    pending.asked = rank_stream_keepers(stream, state_->peers, count);
    co_await ask_stream_keepers(pending);
    if (!pending.found()) {
        result.confirmed = co_await view_reader_->wait(began);
    }
    if (!pending.found() && !result.confirmed) {
        // A few nodes that are cut off together must not confirm each other.
        auto const more =
            rank_stream_keepers(stream, state_->peers, max_keepers_asked);
        if (more.size() > pending.asked.size()) {
            pending.asked = more;
            co_await ask_stream_keepers(pending);
        }
    }
    result.choice = choose_origin(pending, result.confirmed);
    result.asked = static_cast<unsigned>(pending.asked.size());
    result.answered = static_cast<unsigned>(pending.answers.size());
    pending_stream_questions_.erase(number);
    co_return result;
}

resumption_choice peer_messenger::choose_origin(
    pending_stream_question const& pending, bool confirmed) {
    std::vector<origin_evidence> evidence{evidence_of(
        stream_key{pending.question.stream},
        service_id(pending.question.service), boot_clock::now())};
    for (auto const& [from, answer] : pending.answers) {
        evidence.push_back(answer);
    }
    // A configuration that came meanwhile may have moved the route.
    bool const same_routes =
        pending.question.configuration == state_->configuration.version;
    view_evidence view;
    view.confirmed = same_routes && confirmed;
    view.all_answered =
        same_routes && !pending.asked.empty() && pending.answered();
    return choose_resumption(evidence, view);
}

asio::awaitable<void>
peer_messenger::ask_stream_keepers(pending_stream_question& pending) {
    asio::steady_timer timer(state_->io);
    pending.timer = &timer;
    for (int each = 0;
         each < max_origin_questions && !pending.found() && !pending.answered();
         ++each) {
        timer.expires_after(origin_answer_timeout);
        send_stream_questions(pending);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    pending.timer = nullptr;
}

void peer_messenger::send_stream_questions(
    pending_stream_question const& pending) {
    for (std::string const& each : pending.asked) {
        if (!pending.answers.contains(each)) {
            peer_datagram message;
            message.stream_questions.push_back(pending.question);
            send(each, std::move(message));
        }
    }
}

bool peer_messenger::pending_stream_question::found() const {
    return std::ranges::any_of(answers, [](auto const& each) {
        return each.second.origin.state != origin_state::unknown;
    });
}

bool peer_messenger::pending_stream_question::answered() const {
    return std::ranges::all_of(asked, [this](std::string const& each) {
        return answers.contains(each);
    });
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
        pending_stream_question& pending = found->second;
        pending.answers[message.from] = from_wire(each);
        if (pending.timer != nullptr &&
            (pending.found() || pending.answered())) {
            pending.timer->cancel();
        }
    }
}

} // namespace camphorpoint
