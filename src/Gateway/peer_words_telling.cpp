// What goes to all nodes, and the way on which everything leaves.
#include "Gateway/peer_words.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace camphorpoint {

namespace {

/// Changes of the list in one datagram; an entry has 100 to 180 bytes.
constexpr std::size_t most_changes = 5;
/// Counts of one datagram, twelve bytes each, and claims of as many.
constexpr std::size_t most_counts = 40;
constexpr std::size_t most_claims = 40;

} // namespace

std::string_view to_string(word_kind kind) noexcept {
    switch (kind) {
    case word_kind::probe:
        return "probe";
    case word_kind::presence:
        return "presence";
    case word_kind::reading:
        return "reading";
    case word_kind::residency:
        return "residency";
    case word_kind::notice:
        return "notice";
    case word_kind::between_two:
        return "between-two";
    }
    return "between-two";
}

void peer_words::put(
    word_kind kind, std::string const& address, domain_id const& domain,
    std::string const& bytes) {
    sent_words& count = sent_.at(static_cast<std::size_t>(kind));
    ++count.datagrams;
    count.bytes += bytes.size();
    bool const across = domain != beliefs_->settings.domain;
    count.bytes_across += across ? bytes.size() : 0;
    link_.send(parse_address(address), bytes);
}

void peer_words::send_all(word_kind kind, peer_datagram message) {
    if (message.empty()) {
        return;
    }
    message.from = beliefs_->own_name;
    std::string const bytes = encode(message);
    for (live_node const& each : beliefs_->members.live_nodes()) {
        if (each.peer_address != beliefs_->own_name) {
            put(kind, each.peer_address, each.domain, bytes);
        }
    }
}

void peer_words::carry_out_membership() {
    for (membership_action const& each : beliefs_->members.take_actions()) {
        if (auto const* const probe = std::get_if<send_probe>(&each)) {
            put(word_kind::probe, probe->address,
                beliefs_->members.domain_of(probe->to),
                encode_probe(probe->message));
        } else {
            log_event const& event = std::get<log_event>(each);
            beliefs_->note(
                log_line(event.code, event.level).with("what", event.detail));
        }
    }
}

void peer_words::start_leaving() {
    beliefs_->members.start_leaving(boot_clock::now());
    carry_out_membership();
}

void peer_words::tell(endpoint_id const& at, std::vector<peer_word> words) {
    for (peer_word& each : words) {
        each.replica = fleet::short_name(at);
    }
    while (!words.empty()) {
        peer_datagram message;
        message.words = take_some(words);
        send_all(word_kind::residency, std::move(message));
    }
}

void peer_words::claim(std::size_t partition, std::uint64_t token) {
    peer_datagram message;
    message.claims.push_back({static_cast<std::uint32_t>(partition), token});
    send_all(word_kind::notice, std::move(message));
}

void peer_words::tell_reading(peer_reading reading) {
    // In pieces that follow one another: a lost one is a gap before the next.
    std::vector<peer_replica> all = std::move(reading.changes);
    std::size_t done = 0;
    do {
        std::size_t const end = std::min(all.size(), done + most_changes);
        peer_reading piece;
        piece.from = done == 0 ? reading.from : all[done].place;
        piece.to = end == all.size() ? reading.to : all[end].place;
        piece.changes.assign(
            all.begin() + static_cast<std::ptrdiff_t>(done),
            all.begin() + static_cast<std::ptrdiff_t>(end));
        peer_datagram message;
        message.readings.push_back(std::move(piece));
        send_all(word_kind::reading, std::move(message));
        done = end;
    } while (done < all.size());
}

void peer_words::suspect(replica const& at, duration rest) {
    peer_datagram message;
    message.suspicions.push_back(
        {fleet::short_name(at.record.id), whole_milliseconds(rest)});
    send_all(word_kind::notice, std::move(message));
}

peer_datagram peer_words::presence(instant now) const {
    peer_datagram message;
    message.present = true;
    message.declared_place = beliefs_->declared_place;
    message.declared_total = beliefs_->declared_total();
    if (auto const age = to_.declared_age(now)) {
        message.attests = true;
        message.attested_ms = whole_milliseconds(*age);
    }
    return message;
}

void peer_words::tell_declared() {
    send_all(word_kind::presence, presence(boot_clock::now()));
}

void peer_words::tell_totals(instant now) {
    peer_datagram message = presence(now);
    for (auto const& [id, each] : beliefs_->replicas.all()) {
        if (!each.open() || message.loads.size() >= most_counts) {
            continue;
        }
        std::uint64_t const name = fleet::short_name(id);
        if (auto const total = total_of(name, now)) {
            message.loads.push_back(*total);
            beliefs_->replicas.told_total(name, counted(name, now), now);
        }
    }
    for (std::size_t const each : beliefs_->leases.held()) {
        auto const token = beliefs_->leases.token(each, now);
        if (token && message.claims.size() < most_claims) {
            message.claims.push_back(
                {static_cast<std::uint32_t>(each), *token});
        }
    }
    send_all(word_kind::presence, std::move(message));
}

} // namespace camphorpoint
