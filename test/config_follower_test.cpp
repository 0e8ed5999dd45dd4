#include "config_cluster.hpp"

#include <doctest/doctest.h>

namespace camphorpoint {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void publish(fake_log& log, std::uint64_t from, std::uint64_t to) {
    for (std::uint64_t each = from; each < to; ++each) {
        log.append(
            make_change("c" + std::to_string(each), {put("scan", each)}));
    }
}

std::uint64_t next_of(config_cluster::node const& node) {
    return node.follower.current().next().value;
}

std::uint64_t number_of_ask(config_actions const& actions) {
    for (config_action const& each : actions) {
        if (auto const* sent = std::get_if<config_send>(&each)) {
            return std::get<config_ask>(sent->message).number;
        }
    }
    return 0;
}

} // namespace

TEST_CASE("nodes follow the log") {
    config_cluster cluster;
    publish(cluster.log, 0, 3);
    config_cluster::node& one = cluster.add("n1");
    config_cluster::node& two = cluster.add("n2");
    CHECK(one.follower.may_serve(cluster.now) == reason::not_ready);
    CHECK(one.follower.stale_for(cluster.now) == duration::max());
    cluster.run(seconds(1));
    CHECK(one.follower.ready());
    CHECK(next_of(one) == 3);

    SUBCASE("a change is in force on all nodes within a poll and a message") {
        publish(cluster.log, 3, 4);
        cluster.run(milliseconds(600));
        CHECK(next_of(one) == 4);
        CHECK(next_of(two) == 4);
        CHECK(
            one.follower.current().digest() == two.follower.current().digest());
    }

    SUBCASE("staleness counts from the start of the read at the head") {
        CHECK(one.follower.stale_for(cluster.now) <= milliseconds(600));
        // An answer that was long on its way proves nothing about now.
        instant const began = cluster.now - seconds(20);
        config_follower slow(node_id("n9"), {}, 1);
        slow.on_batch(cluster.log.read({}, began), cluster.now);
        CHECK(slow.stale_for(cluster.now) == seconds(20));
    }

    SUBCASE("nor does an answer that knows less than the node has") {
        config_follower ahead(node_id("n9"), {}, 1);
        log_batch behind = cluster.log.read({}, cluster.now);
        behind.head = log_offset{2};
        ahead.on_batch(behind, cluster.now);
        CHECK_FALSE(ahead.ready());
    }

    SUBCASE("nor does a peer that has more than this node") {
        config_follower node(node_id("n9"), {}, 1);
        node.set_peers({node_id("n1")});
        node.on_batch(cluster.log.read({}, cluster.now), cluster.now);
        node.on_read_failed(cluster.now);
        instant const later = cluster.now + seconds(10);
        config_records answer;
        answer.number = number_of_ask(node.on_tick(later));
        answer.next = log_offset{9};
        answer.confirmed = true;
        node.on_peer(node_id("n1"), answer, later);
        CHECK(node.stale_for(later) == seconds(10));
        CHECK(node.contact_at() == later);
    }

    SUBCASE("a higher offset in a request is read at once") {
        publish(cluster.log, 3, 4);
        std::size_t const reads = one.reads;
        cluster.perform(
            node_id("n1"), one,
            one.follower.needs(log_offset{4}, node_id("n2"), cluster.now));
        CHECK(one.reads > reads);
        CHECK(next_of(one) == 4);
        std::size_t const enough = one.reads;
        cluster.perform(
            node_id("n1"), one,
            one.follower.needs(log_offset{4}, node_id("n2"), cluster.now));
        CHECK(one.reads == enough);
    }

    SUBCASE("also when a read from before it is under way") {
        config_follower node(node_id("n9"), {}, 1);
        node.on_tick(cluster.now);
        log_batch const before = cluster.log.read({}, cluster.now);
        publish(cluster.log, 3, 4);
        CHECK(node.needs(log_offset{4}, node_id(), cluster.now).empty());
        node.on_batch(before, cluster.now);
        config_actions const soon =
            node.on_tick(cluster.now + milliseconds(60));
        REQUIRE_FALSE(soon.empty());
        CHECK(std::holds_alternative<config_read>(soon.front()));
    }

    SUBCASE("more nodes poll less often") {
        std::vector<node_id> many;
        many.reserve(1'900);
        for (int each = 0; each < 1'900; ++each) {
            many.emplace_back("m" + std::to_string(each));
        }
        CHECK(one.follower.poll_interval() == milliseconds(500));
        one.follower.set_peers(many);
        CHECK(one.follower.poll_interval() == seconds(4));
    }

    SUBCASE("a broken record is passed over and reported") {
        cluster.log.append_text("no such thing");
        publish(cluster.log, 3, 4);
        cluster.run(seconds(1));
        CHECK(next_of(one) == 5);
        // The node that read it says so; to others it goes without its bytes.
        bool const said =
            cluster.said(one, event_code::config_record_invalid) ||
            cluster.said(two, event_code::config_record_invalid);
        CHECK(said);
        CHECK(one.follower.current().revision_of(profile_name("scan")) == 4);
    }
}

// A node is paused, as by a host under load, for longer than the log keeps
// records. When it wakes up, the records after its own are gone. It must take
// up from a checkpoint that leads on to what is left, serving what it has
// until then, and never go back.
TEST_CASE("the log trims while a node is paused") {
    config_cluster cluster;
    publish(cluster.log, 0, 20);
    config_cluster::node& paused = cluster.add("n1");
    cluster.run(seconds(1));
    configuration ahead;
    replay(ahead, cluster.log);
    paused.paused = true;
    publish(cluster.log, 20, 40);

    SUBCASE("a whole checkpoint is there") {
        replay(ahead, cluster.log);
        write_checkpoint(cluster.log, ahead, "n2", most_state_parts, 600);
        publish(cluster.log, 40, 45);
        cluster.log.trim(log_offset{30});
        paused.paused = false;
        cluster.run(seconds(2));
        replay(ahead, cluster.log);
        CHECK(cluster.said(paused, event_code::config_place_expired));
        CHECK(paused.follower.current().next() == cluster.log.head());
        CHECK(paused.follower.current().digest() == ahead.digest());
    }

    SUBCASE("only one from before the gap: it is not used, and peers help") {
        // Covers 20, but 21 to 29 are gone.
        write_checkpoint(cluster.log, ahead, "n2");
        replay(ahead, cluster.log);
        fake_log const untrimmed = cluster.log;
        cluster.log.trim(log_offset{30});
        paused.paused = false;
        config_cluster::node& fresh = cluster.add("n3");
        cluster.run(seconds(2));
        CHECK(next_of(paused) == 20);
        CHECK(paused.follower.ready());
        CHECK(cluster.said(paused, event_code::config_no_checkpoint));
        CHECK(paused.follower.stale_for(cluster.now) > milliseconds(1'900));
        CHECK_FALSE(fresh.follower.ready());
        CHECK_FALSE(cluster.said(fresh, event_code::config_state_adopted));

        // This one was up all the time.
        config_cluster::node& peer = cluster.add("n2");
        peer.follower.on_batch(untrimmed.read({}, cluster.now), cluster.now);
        REQUIRE(peer.follower.ready());
        cluster.run(seconds(12));
        for (config_cluster::node* each : {&paused, &fresh}) {
            CHECK(each->follower.ready());
            CHECK(each->follower.current().next() == cluster.log.head());
            CHECK(each->follower.current().digest() == ahead.digest());
        }
    }
}

// All records before some point have expired, and the newest checkpoint is
// incomplete since its writer died. A node that starts must not take half of
// it for the whole; it takes the older whole one and what follows.
TEST_CASE("a checkpoint is half written") {
    config_cluster cluster;
    publish(cluster.log, 0, 30);
    configuration writer;
    replay(writer, cluster.log);
    write_checkpoint(cluster.log, writer, "n8", most_state_parts, 600);
    publish(cluster.log, 30, 40);
    replay(writer, cluster.log);
    write_checkpoint(cluster.log, writer, "n9", 2, 600);
    publish(cluster.log, 40, 42);
    replay(writer, cluster.log);
    cluster.log.trim(log_offset{25});
    config_cluster::node& node = cluster.add("n1");
    cluster.run(seconds(2));
    CHECK(node.follower.ready());
    CHECK(next_of(node) == cluster.log.head().value);
    CHECK(node.follower.current().digest() == writer.digest());
    REQUIRE(node.follower.last_checkpoint());
    CHECK(node.follower.last_checkpoint()->covers == log_offset{30});

    SUBCASE("one whose digest is wrong does not hide the good one") {
        configuration_state wrong = writer.snapshot();
        wrong.digest += 1;
        for (state_part const& part : split_state(wrong, 2'048)) {
            cluster.log.append(checkpoint_part{node_id("n7"), part});
        }
        config_cluster::node& late = cluster.add("n2");
        cluster.run(seconds(2));
        CHECK(cluster.said(late, event_code::config_state_broken));
        CHECK(late.follower.current().digest() == writer.digest());
        // Nor does it keep the nodes from writing a good one.
        CHECK(node.follower.last_checkpoint()->covers == log_offset{30});
    }

    SUBCASE("one that covers records that are still to come is not used") {
        configuration_state later = writer.snapshot();
        later.next = log_offset{1'000};
        for (state_part const& part : split_state(later, 2'048)) {
            cluster.log.append(checkpoint_part{node_id("n7"), part});
        }
        config_cluster::node& late = cluster.add("n2");
        cluster.run(seconds(2));
        CHECK(next_of(late) == cluster.log.head().value);
        CHECK(node.follower.last_checkpoint()->covers == log_offset{30});
    }

    SUBCASE("a checkpoint that covers less than what is applied is ignored") {
        configuration old;
        while (old.next() < log_offset{10}) {
            old.apply(cluster.log.at(old.next()));
        }
        write_checkpoint(cluster.log, old, "n6");
        cluster.run(seconds(2));
        CHECK(node.follower.current().digest() == writer.digest());
        CHECK(node.follower.last_checkpoint()->covers == log_offset{30});
    }
}

// The log has an outage, and an instance is replaced meanwhile. Callers get
// "not ready" from the new node until it has a state from its peers; then it
// serves with the newest that any of them had.
TEST_CASE("the log is down and a node starts") {
    config_cluster cluster;
    publish(cluster.log, 0, 700);
    cluster.add("n1");
    cluster.run(seconds(1));
    config_cluster::node& behind = cluster.at("n1");
    behind.cut_from_log = true;
    behind.cut_from_peers = true;
    cluster.add("n2");
    publish(cluster.log, 700, 720);
    cluster.run(seconds(2));
    REQUIRE(next_of(behind) == 700);
    REQUIRE(next_of(cluster.at("n2")) == 720);

    cluster.at("n2").cut_from_log = true;
    config_cluster::node& fresh = cluster.add("n3");
    fresh.cut_from_log = true;

    SUBCASE("no peer answers: it is not ready") {
        cluster.at("n2").cut_from_peers = true;
        // Nor do two that have nothing make each other ready.
        cluster.add("n4").cut_from_log = true;
        cluster.run(seconds(10));
        CHECK(fresh.follower.may_serve(cluster.now) == reason::not_ready);
    }

    SUBCASE("the highest offset wins") {
        behind.cut_from_peers = false;
        // n1 itself catches up from n2 as well, by records.
        cluster.run(seconds(4));
        CHECK(fresh.follower.may_serve(cluster.now) == reason::none);
        CHECK(next_of(fresh) == 720);
        CHECK(next_of(behind) == 720);
        CHECK(cluster.said(fresh, event_code::config_state_adopted));
        CHECK_FALSE(cluster.said(behind, event_code::config_state_adopted));
        CHECK(
            fresh.follower.current().digest() ==
            cluster.at("n2").follower.current().digest());

        // The log is back: the node follows it from where it is.
        fresh.cut_from_log = false;
        publish(cluster.log, 720, 721);
        cluster.run(seconds(2));
        CHECK(next_of(fresh) == 721);
    }
}

// A node that was cut off for an hour comes back and offers what it had then.
// Nothing may go back on the nodes that it talks to.
TEST_CASE("a stale peer offers old state") {
    config_cluster cluster;
    publish(cluster.log, 0, 5);
    configuration old;
    replay(old, cluster.log);
    publish(cluster.log, 5, 9);
    config_cluster::node& node = cluster.add("n1");
    cluster.add("n2").paused = true;
    cluster.run(seconds(1));
    std::uint64_t const digest = node.follower.current().digest();

    SUBCASE("unasked, as news and as a state") {
        config_records news;
        news.next = old.next();
        news.digest = old.digest();
        news.records.push_back(
            {log_offset{4}, 0, cluster.log.at({4}).data, {}});
        cluster.hand("n1", "n2", news);
        for (state_part const& part : split_state(old.snapshot(), 2'048)) {
            cluster.hand("n1", "n2", config_state{0, part});
        }
    }

    SUBCASE("or records with a gap before them") {
        config_records news;
        news.next = log_offset{9};
        news.digest = digest;
        news.records.push_back({log_offset{12}, 0, "", {}});
        cluster.hand("n1", "n2", news);
    }

    SUBCASE("as the answer to an ask, while the log is away") {
        node.cut_from_log = true;
        node.follower.on_read_failed(cluster.now);
        config_actions const asks = node.follower.on_tick(cluster.now);
        std::uint64_t const number = number_of_ask(asks);
        REQUIRE(number > 0);
        config_records answer;
        answer.number = number;
        answer.next = old.next();
        answer.digest = old.digest();
        answer.confirmed = true;
        cluster.hand("n1", "n2", answer);
    }

    CHECK(next_of(node) == 9);
    CHECK(node.follower.current().digest() == digest);
    CHECK_FALSE(cluster.said(node, event_code::config_digest_differs));
}

// Two nodes that replayed the same records have different profiles in force:
// callers get other answers from other nodes. It must not stay unseen.
TEST_CASE("a digest that differs at the same offset is reported once") {
    config_cluster cluster;
    publish(cluster.log, 0, 5);
    config_cluster::node& node = cluster.add("n1");
    cluster.add("n2").paused = true;
    cluster.run(seconds(1));
    config_records news;
    news.next = log_offset{5};
    news.digest = node.follower.current().digest() + 1;
    cluster.hand("n1", "n2", news);
    cluster.hand("n1", "n2", news);
    CHECK(
        std::ranges::count(
            node.events, event_code::config_digest_differs, &log_event::code) ==
        1);
}

// One failure domain loses the log but not the other domains. Its nodes must
// take changes in force like all others, and know that they are up to date.
TEST_CASE("a node is cut from the log but not from its peers") {
    config_cluster cluster;
    cluster.add("n1");
    config_cluster::node& cut = cluster.add("n2");
    cluster.run(seconds(1));
    cut.cut_from_log = true;
    publish(cluster.log, 0, 1);
    cluster.run(milliseconds(700));
    CHECK(next_of(cut) == 1);
    cluster.run(seconds(60));
    CHECK(cut.follower.stale_for(cluster.now) < seconds(3));
    CHECK(cut.follower.may_serve(cluster.now) == reason::none);

    SUBCASE("cut from both: what it does is a setting") {
        cut.cut_from_peers = true;
        cluster.run(seconds(29));
        CHECK(cut.follower.may_serve(cluster.now) == reason::none);
        cluster.run(seconds(3));
        CHECK(
            cut.follower.may_serve(cluster.now) == reason::configuration_stale);
        CHECK(cluster.said(cut, event_code::config_stale));
        cut.cut_from_peers = false;
        cluster.run(seconds(2));
        CHECK(cut.follower.may_serve(cluster.now) == reason::none);
        CHECK(cluster.said(cut, event_code::config_fresh_again));
    }

    SUBCASE("the log is away for all: no change can be accepted, all serve") {
        cluster.at("n1").cut_from_log = true;
        cluster.run(seconds(60));
        CHECK(cut.follower.stale_for(cluster.now) > seconds(59));
        CHECK(cut.follower.may_serve(cluster.now) == reason::none);
    }
}

TEST_CASE("the policies on stale configuration") {
    config_cluster cluster;
    follower_settings strict;
    strict.when_stale = staleness_policy::refuse_when_unconfirmed;
    follower_settings easy;
    easy.when_stale = staleness_policy::serve;
    cluster.add("n1", strict);
    cluster.add("n2", easy);
    cluster.run(seconds(1));
    for (auto& [id, node] : cluster.nodes()) {
        node.cut_from_log = true;
    }
    cluster.run(seconds(40));
    CHECK(
        cluster.at("n1").follower.may_serve(cluster.now) ==
        reason::configuration_stale);
    cluster.at("n1").cut_from_peers = true;
    cluster.run(seconds(40));
    CHECK(cluster.at("n2").follower.may_serve(cluster.now) == reason::none);
    CHECK(cluster.said(cluster.at("n2"), event_code::config_stale));
}

} // namespace camphorpoint
