#include <Camphorpoint/Fleet>
#include <Camphorpoint/ReplicaControl>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <rapidcheck.h>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Actions on the store, and on nodes that depend on its log.
enum class action : std::uint8_t {
    write,
    roll_back,
    read,
    send,
    deliver,
    lose,
    last
};

struct step {
    action what = action::write;
    /// Selects the node, the message, or the number of records that a rollback
    /// loses.
    std::size_t which = 0;
};

/// @returns any sequence of steps
rc::Gen<std::vector<step>> any_steps() {
    constexpr std::size_t most_which = 12;
    auto const one = rc::gen::apply(
        [](unsigned what, std::size_t which) {
            return step{static_cast<action>(what), which};
        },
        rc::gen::inRange<unsigned>(0, static_cast<unsigned>(action::last)),
        rc::gen::inRange<std::size_t>(0, most_which));
    return rc::gen::container<std::vector<step>>(one);
}

/// A store of distinct records that may be rolled back to an older snapshot.
struct rollback_store {
    store_epoch epoch{1};
    std::vector<int> records;
    int written = 0;

    void write() { records.push_back(++written); }
    void roll_back(std::size_t by) {
        records.resize(records.size() - std::min(by, records.size()));
        epoch = store_epoch{static_cast<std::uint32_t>(epoch) + 1};
    }
    store_position end() const { return {epoch, records.size()}; }
};

/// A node that polls the records, and receives what other nodes have polled.
struct reading_node {
    registry_poll_schedule schedule{milliseconds(1'000)};
    std::vector<int> known;

    void read(rollback_store const& store, instant now) {
        bool const full = schedule.needs_full_poll();
        store_position const from = schedule.position();
        schedule.enter_epoch(store.epoch, now);
        if (!schedule.is_valid_answer(full, from, store.end())) {
            return;
        }
        known = store.records;
        schedule.poll_completed(store.end(), now);
    }
};

struct registry_message {
    store_position from;
    store_position to;
    std::vector<int> records;
};

} // namespace

// Guards against a node whose records differ from the store's: the store is
// rolled back repeatedly, messages between nodes are lost or late, and nodes of
// several epochs exchange messages. A node must know exactly the records that
// the store holds up to the node's position in that epoch.
TEST_CASE("a node knows exactly the records up to its position") {
    rc::check("for any sequence of steps", [] {
        constexpr std::size_t nodes = 3;
        rollback_store store;
        std::vector<reading_node> readers(nodes);
        std::deque<registry_message> messages;
        instant const now = instant() + seconds(100);
        auto const matches_store = [&](reading_node const& each) {
            store_position const at = each.schedule.position();
            return at.epoch != store.epoch ||
                   (each.known.size() == at.offset &&
                    std::ranges::equal(
                        each.known,
                        std::vector<int>(
                            store.records.begin(),
                            store.records.begin() +
                                static_cast<std::ptrdiff_t>(at.offset))));
        };
        for (step const& each : *any_steps()) {
            reading_node& node = readers[each.which % nodes];
            switch (each.what) {
            case action::write:
                store.write();
                break;
            case action::roll_back:
                store.roll_back(each.which);
                break;
            case action::read:
                node.read(store, now);
                break;
            case action::send:
                if (!node.schedule.needs_full_poll()) {
                    std::size_t const from =
                        std::min(each.which, node.known.size());
                    messages.push_back(
                        {{node.schedule.position().epoch, from},
                         node.schedule.position(),
                         {node.known.begin() +
                              static_cast<std::ptrdiff_t>(from),
                          node.known.end()}});
                }
                break;
            case action::deliver:
                if (!messages.empty()) {
                    registry_message const message = messages.front();
                    std::uint64_t const before =
                        node.schedule.position().offset;
                    auto const fit = node.schedule.handle_update(
                        message.from, message.to, now);
                    if (fit == registry_update_fit::applies) {
                        auto const already_known = before - message.from.offset;
                        node.known.insert(
                            node.known.end(),
                            message.records.begin() +
                                static_cast<std::ptrdiff_t>(already_known),
                            message.records.end());
                    }
                    if (fit == registry_update_fit::later_epoch) {
                        node.schedule.enter_epoch(message.to.epoch, now);
                    }
                    messages.pop_front();
                }
                break;
            case action::lose:
            case action::last:
                if (!messages.empty()) {
                    messages.pop_front();
                }
                break;
            }
            RC_ASSERT(std::ranges::all_of(readers, matches_store));
        }
        for (reading_node& each : readers) {
            each.read(store, now);
            each.read(store, now);
            RC_ASSERT(each.known == store.records);
        }
    });
}

namespace {

/// Lease holders that claim a partition repeatedly in a log that loses its
/// newest records.
/// @param reports_epoch whether the store reports its epoch
/// @param messages_lost whether messages between the nodes may be lost
void claim_with_rollbacks(bool reports_epoch, bool messages_lost) {
    constexpr std::size_t partition = 4;
    constexpr std::size_t nodes = 3;
    rollback_store store;
    std::vector<partition_leases> leases(
        nodes, partition_leases(lease_times{}));
    std::map<std::uint64_t, std::size_t> holder_by_token;
    instant now = instant() + seconds(100);
    for (partition_leases& each : leases) {
        each.on_renewal_granted(now, 1, {partition}, now);
    }
    for (step const& each : *any_steps()) {
        std::size_t const which = each.which % nodes;
        if (each.what == action::roll_back) {
            store.roll_back(each.which);
            continue;
        }
        store_position claim = store.end();
        claim.epoch = reports_epoch ? store.epoch : store_epoch{};
        store.write();
        std::uint64_t const token = fencing_number(claim);
        if (!leases[which].set_token(partition, token)) {
            continue;
        }
        auto const [entry, fresh] = holder_by_token.try_emplace(token, which);
        RC_ASSERT(fresh || entry->second == which);
        bool const lost = messages_lost && each.what == action::lose;
        for (std::size_t other = 0; other < nodes && !lost; ++other) {
            if (other != which) {
                leases[other].on_higher_token(partition, token);
            }
        }
    }
}

} // namespace

// Guards against two lease holders with one fencing number: the offset of a
// claim is lost with the store's newest records and assigned again to another
// lease holder. Replicas reject lower numbers only, so both could send commands
// to one replica.
TEST_CASE("no two lease holders have the same fencing number") {
    SUBCASE("even if messages are lost, when the store reports its epoch") {
        rc::check("", [] { claim_with_rollbacks(true, true); });
    }
    SUBCASE("without a reported epoch, if no message is lost") {
        rc::check("", [] { claim_with_rollbacks(false, false); });
    }
}

} // namespace camphorpoint
