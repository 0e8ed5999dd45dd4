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

/// The node that keeps a content's gate answers within a few milliseconds; an
/// answer that is lost is asked for once more.
constexpr std::chrono::milliseconds gate_answers{20};
constexpr int gate_asks = 2;
/// One that was not heard for so long is not asked.
constexpr duration gate_silent = std::chrono::milliseconds(1'500);

} // namespace

bool peer_messenger::requires_admission(
    request_fingerprint content, instant now) const {
    return !state_->quarantine_sync_state.complete(now) ||
           state_->quarantine.suspected(content);
}

// The first of the nodes that count the content's ends, as they hear of these
// before all others.
std::string
peer_messenger::gate_of(request_fingerprint content, instant now) const {
    for (std::uint64_t each = 0; each < crash_counter_nodes; ++each) {
        std::size_t const partition =
            combine_hashes(static_cast<std::uint64_t>(content), each) %
            partition_count;
        auto const owner = owners_.find(partition);
        if (owner == owners_.end()) {
            continue;
        }
        auto const heard = state_->peers.find(owner->second);
        bool const there =
            heard != state_->peers.end() && now < heard->second + gate_silent;
        if (there || owner->second == state_->own_address) {
            return owner->second;
        }
    }
    return state_->own_address;
}

void peer_messenger::send_gate(std::string const& to, peer_gate_message word) {
    peer_datagram message;
    message.gates.push_back(word);
    send(to, std::move(message));
}

bool peer_messenger::begins_here(
    request_fingerprint content, std::uint64_t run, instant now) {
    return !state_->quarantine.quarantined_for(content, now) &&
           gate_.try_admit(content, run, now);
}

asio::awaitable<bool> peer_messenger::request_admission(
    request_fingerprint content, std::uint64_t run) {
    peer_gate_message const ask{
        static_cast<std::uint64_t>(content), run, gate_message_kind::may_begin};
    for (int tries = 0; tries < gate_asks; ++tries) {
        instant const now = boot_clock::now();
        std::string const at = gate_of(content, now);
        if (at == state_->own_address) {
            co_return begins_here(content, run, now);
        }
        asio::steady_timer timer(state_->io, gate_answers);
        gate_questions_[run] = {&timer, std::nullopt};
        send_gate(at, ask);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        auto const answer = gate_questions_.extract(run);
        if (answer && answer.mapped().begins) {
            co_return *answer.mapped().begins;
        }
    }
    // Nobody keeps the gate: a request is not held up for that.
    co_return true;
}

void peer_messenger::report_progress(request_fingerprint content) {
    instant const now = boot_clock::now();
    std::string const at = gate_of(content, now);
    if (at == state_->own_address) {
        gate_.mark_safe(content, now);
        return;
    }
    send_gate(
        at,
        {static_cast<std::uint64_t>(content), 0, gate_message_kind::proven});
}

void peer_messenger::report_attempt_ended(
    request_fingerprint content, std::uint64_t run) {
    std::string const at = gate_of(content, boot_clock::now());
    if (at == state_->own_address) {
        gate_.release(content, run);
        return;
    }
    send_gate(
        at,
        {static_cast<std::uint64_t>(content), run, gate_message_kind::ended});
}

void peer_messenger::take_gate(
    peer_gate_message const& word, std::string const& from, instant now) {
    request_fingerprint const content{word.content};
    switch (word.what) {
    case gate_message_kind::may_begin: {
        bool const begins = begins_here(content, word.run, now);
        send_gate(
            from,
            {word.content, word.run,
             begins ? gate_message_kind::begins : gate_message_kind::waits});
        break;
    }
    case gate_message_kind::proven:
        gate_.mark_safe(content, now);
        break;
    case gate_message_kind::ended:
        gate_.release(content, word.run);
        break;
    case gate_message_kind::begins:
    case gate_message_kind::waits:
        auto const question = gate_questions_.find(word.run);
        if (question != gate_questions_.end()) {
            question->second.begins = word.what == gate_message_kind::begins;
            question->second.timer->cancel();
        }
        break;
    }
}

} // namespace camphorpoint
