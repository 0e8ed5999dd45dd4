#include "Core/hash.hpp"
#include "Gateway/peer_messenger.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

/// The node that keeps a request's gate answers within a few milliseconds. When
/// no answer arrives, the admission request is sent once more.
constexpr std::chrono::milliseconds gate_answer_timeout{20};
constexpr int max_gate_attempts = 2;
/// A node from which no message was received for this long is not asked.
constexpr duration gate_node_timeout = std::chrono::milliseconds(1'500);

} // namespace

bool peer_messenger::requires_admission(
    request_fingerprint fingerprint, instant now) const {
    return !state_->quarantine_sync_state.complete(now) ||
           state_->quarantine.suspected(fingerprint);
}

// Chooses the first reachable node among those that count the crashes of the
// fingerprint, because they learn of a crash before all others.
std::string peer_messenger::gate_node_of(
    request_fingerprint fingerprint, instant now) const {
    for (std::uint64_t each = 0; each < crash_counter_nodes; ++each) {
        std::size_t const partition =
            combine_hashes(static_cast<std::uint64_t>(fingerprint), each) %
            partition_count;
        auto const holder = lease_holders_.find(partition);
        if (holder == lease_holders_.end()) {
            continue;
        }
        auto const last_received = state_->peers.find(holder->second);
        bool const reachable = last_received != state_->peers.end() &&
                               now < last_received->second + gate_node_timeout;
        if (reachable || holder->second == state_->own_address) {
            return holder->second;
        }
    }
    return state_->own_address;
}

void peer_messenger::send_gate_message(
    std::string const& to, peer_gate_message message) {
    peer_datagram datagram;
    datagram.gate_messages.push_back(message);
    send(to, std::move(datagram));
}

bool peer_messenger::admit_locally(
    request_fingerprint fingerprint, std::uint64_t attempt, instant now) {
    return !state_->quarantine.quarantined_for(fingerprint, now) &&
           gate_.try_admit(fingerprint, attempt, now);
}

asio::awaitable<bool> peer_messenger::request_admission(
    request_fingerprint fingerprint, std::uint64_t attempt) {
    peer_gate_message const request{
        static_cast<std::uint64_t>(fingerprint), attempt,
        gate_message_kind::admission_request};
    for (int tries = 0; tries < max_gate_attempts; ++tries) {
        instant const now = boot_clock::now();
        std::string const at = gate_node_of(fingerprint, now);
        if (at == state_->own_address) {
            co_return admit_locally(fingerprint, attempt, now);
        }
        asio::steady_timer timer(state_->io, gate_answer_timeout);
        pending_admissions_[attempt] = {&timer, std::nullopt};
        send_gate_message(at, request);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        auto const answer = pending_admissions_.extract(attempt);
        if (answer && answer.mapped().admitted) {
            co_return *answer.mapped().admitted;
        }
    }
    // No gate node answered: the attempt is admitted, so that a request is not
    // delayed by an unreachable gate.
    co_return true;
}

void peer_messenger::report_progress(request_fingerprint fingerprint) {
    instant const now = boot_clock::now();
    std::string const at = gate_node_of(fingerprint, now);
    if (at == state_->own_address) {
        gate_.mark_safe(fingerprint, now);
        return;
    }
    send_gate_message(
        at, {static_cast<std::uint64_t>(fingerprint), 0,
             gate_message_kind::proven});
}

void peer_messenger::report_attempt_ended(
    request_fingerprint fingerprint, std::uint64_t attempt) {
    std::string const at = gate_node_of(fingerprint, boot_clock::now());
    if (at == state_->own_address) {
        gate_.release(fingerprint, attempt);
        return;
    }
    send_gate_message(
        at, {static_cast<std::uint64_t>(fingerprint), attempt,
             gate_message_kind::ended});
}

void peer_messenger::handle_gate_message(
    peer_gate_message const& message, std::string const& from, instant now) {
    request_fingerprint const fingerprint{message.fingerprint};
    switch (message.kind) {
    case gate_message_kind::admission_request: {
        bool const admitted = admit_locally(fingerprint, message.attempt, now);
        send_gate_message(
            from, {message.fingerprint, message.attempt,
                   admitted ? gate_message_kind::admitted
                            : gate_message_kind::deferred});
        break;
    }
    case gate_message_kind::proven:
        gate_.mark_safe(fingerprint, now);
        break;
    case gate_message_kind::ended:
        gate_.release(fingerprint, message.attempt);
        break;
    case gate_message_kind::admitted:
    case gate_message_kind::deferred:
        auto const pending = pending_admissions_.find(message.attempt);
        if (pending != pending_admissions_.end()) {
            pending->second.admitted =
                message.kind == gate_message_kind::admitted;
            pending->second.timer->cancel();
        }
        break;
    }
}

} // namespace camphorpoint
