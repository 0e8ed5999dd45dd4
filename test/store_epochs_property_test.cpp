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

/// What can happen to the store, and to nodes that rest on its memory.
enum class happening : std::uint8_t {
    write,
    go_back,
    read,
    tell,
    deliver,
    lose,
    last
};

struct step {
    happening what = happening::write;
    /// Picks the node, the word, or how far the store goes back.
    std::size_t which = 0;
};

/// @returns any row of steps
rc::Gen<std::vector<step>> any_steps() {
    constexpr std::size_t most_which = 12;
    auto const one = rc::gen::apply(
        [](unsigned what, std::size_t which) {
            return step{static_cast<happening>(what), which};
        },
        rc::gen::inRange<unsigned>(0, static_cast<unsigned>(happening::last)),
        rc::gen::inRange<std::size_t>(0, most_which));
    return rc::gen::container<std::vector<step>>(one);
}

/// Records that are all different, in a store that may come back from an older
/// copy.
struct lossy_store {
    store_epoch epoch{1};
    std::vector<int> records;
    int written = 0;

    void write() { records.push_back(++written); }
    void go_back(std::size_t by) {
        records.resize(records.size() - std::min(by, records.size()));
        epoch = store_epoch{static_cast<std::uint32_t>(epoch) + 1};
    }
    store_position end() const { return {epoch, records.size()}; }
};

/// A node that reads the records, and hears of others' readings.
struct reader {
    registry_poll_schedule turns{milliseconds(1'000)};
    std::vector<int> known;

    void read(lossy_store const& store, instant now) {
        bool const whole = turns.needs_full_poll();
        store_position const from = turns.position();
        turns.enter_epoch(store.epoch, now);
        if (!turns.is_valid_answer(whole, from, store.end())) {
            return;
        }
        known = store.records;
        turns.poll_completed(store.end(), now);
    }
};

struct word {
    store_position from;
    store_position to;
    std::vector<int> records;
};

} // namespace

// The store goes back again and again, words between nodes are lost and late,
// and nodes of several eras talk to each other. What a node knows is what the
// store holds up to the place that the node stands at, in that era.
TEST_CASE("what a node knows of the list is what stands there") {
    rc::check("whatever happens", [] {
        constexpr std::size_t nodes = 3;
        lossy_store store;
        std::vector<reader> readers(nodes);
        std::deque<word> words;
        instant const now = instant() + seconds(100);
        auto const as_it_stands = [&](reader const& each) {
            store_position const at = each.turns.position();
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
            reader& node = readers[each.which % nodes];
            switch (each.what) {
            case happening::write:
                store.write();
                break;
            case happening::go_back:
                store.go_back(each.which);
                break;
            case happening::read:
                node.read(store, now);
                break;
            case happening::tell:
                if (!node.turns.needs_full_poll()) {
                    std::size_t const from =
                        std::min(each.which, node.known.size());
                    words.push_back(
                        {{node.turns.position().epoch, from},
                         node.turns.position(),
                         {node.known.begin() +
                              static_cast<std::ptrdiff_t>(from),
                          node.known.end()}});
                }
                break;
            case happening::deliver:
                if (!words.empty()) {
                    word const told = words.front();
                    std::uint64_t const before = node.turns.position().offset;
                    auto const means =
                        node.turns.handle_update(told.from, told.to, now);
                    if (means == registry_update_fit::applies) {
                        auto const known_already = before - told.from.offset;
                        node.known.insert(
                            node.known.end(),
                            told.records.begin() +
                                static_cast<std::ptrdiff_t>(known_already),
                            told.records.end());
                    }
                    if (means == registry_update_fit::later_epoch) {
                        node.turns.enter_epoch(told.to.epoch, now);
                    }
                    words.pop_front();
                }
                break;
            case happening::lose:
            case happening::last:
                if (!words.empty()) {
                    words.pop_front();
                }
                break;
            }
            RC_ASSERT(std::ranges::all_of(readers, as_it_stands));
        }
        for (reader& each : readers) {
            each.read(store, now);
            each.read(store, now);
            RC_ASSERT(each.known == store.records);
        }
    });
}

namespace {

/// Holders that claim a partition again and again in a log that loses its
/// newest records.
void claim_and_lose(bool names_era, bool words_are_lost) {
    constexpr std::size_t partition = 4;
    constexpr std::size_t nodes = 3;
    lossy_store store;
    std::vector<partition_leases> holders(
        nodes, partition_leases(lease_times{}));
    std::map<std::uint64_t, std::size_t> had_by;
    instant now = instant() + seconds(100);
    for (partition_leases& each : holders) {
        each.on_renewal_granted(now, 1, {partition}, now);
    }
    for (step const& each : *any_steps()) {
        std::size_t const which = each.which % nodes;
        if (each.what == happening::go_back) {
            store.go_back(each.which);
            continue;
        }
        store_position claim = store.end();
        claim.epoch = names_era ? store.epoch : store_epoch{};
        store.write();
        std::uint64_t const token = fencing_number(claim);
        if (!holders[which].set_token(partition, token)) {
            continue;
        }
        auto const [had, fresh] = had_by.try_emplace(token, which);
        RC_ASSERT(fresh || had->second == which);
        bool const lost = words_are_lost && each.what == happening::lose;
        for (std::size_t other = 0; other < nodes && !lost; ++other) {
            if (other != which) {
                holders[other].on_higher_token(partition, token);
            }
        }
    }
}

} // namespace

// A claim's place is lost with the store's newest records and given out again,
// to another holder. Replicas refuse lower numbers only, so both would be
// believed and order at one replica.
TEST_CASE("no two holders have one fencing number") {
    SUBCASE("whatever word is lost, where the store names its era") {
        rc::check("", [] { claim_and_lose(true, true); });
    }
    SUBCASE("where it does not, as long as holders hear each other") {
        rc::check("", [] { claim_and_lose(false, false); });
    }
}

} // namespace camphorpoint
