#include "config_cluster.hpp"

#include <Camphorpoint/Placement>

#include <doctest/doctest.h>

#include <map>

namespace camphorpoint {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Nodes with writers on one fake log.
struct writing_cluster {
    config_cluster cluster;
    std::map<node_id, checkpoint_writer> writers;
    std::vector<node_id> names;
    std::map<node_id, std::size_t> parts;
    std::map<node_id, std::vector<append_result>> next_results;
    std::map<node_id, bool> dead;

    explicit writing_cluster(int nodes) {
        for (int each = 0; each < nodes; ++each) {
            std::string const name = "n" + std::to_string(each);
            names.emplace_back(name);
            cluster.add(name);
            writers.emplace(
                node_id(name),
                checkpoint_writer(node_id(name), checkpoint_settings{}));
        }
    }
    void run(seconds time, milliseconds step = milliseconds(100)) {
        for (milliseconds spent{}; spent < time; spent += step) {
            cluster.run(std::min(step, milliseconds(200)));
            cluster.now += std::max(step - milliseconds(200), milliseconds(0));
            cluster.log.clock += step;
            for (auto& [id, writer] : writers) {
                if (!dead[id]) {
                    tick(id, writer);
                }
            }
        }
    }
    void tick(node_id const& id, checkpoint_writer& writer) {
        config_follower const& follower = cluster.at(id.str()).follower;
        for (checkpoint_action const& each :
             writer.on_tick(follower, names, cluster.now, cluster.log.clock)) {
            if (auto const* append = std::get_if<checkpoint_append>(&each)) {
                ++parts[id];
                largest = std::max(largest, append->data.size());
                cluster.log.append_text(append->data);
                append_result how = append_result::appended;
                if (!next_results[id].empty()) {
                    how = next_results[id].back();
                    next_results[id].pop_back();
                }
                writer.on_append_ended(append->append, how, cluster.now);
            }
        }
    }
    std::size_t largest = 0;
};

void publish_profiles(fake_log& log, std::uint64_t changes) {
    for (std::uint64_t each = 0; each < changes; ++each) {
        std::string const name = std::to_string(each);
        log.append(make_change("c" + name, {put("profile-" + name, 0)}));
    }
}

} // namespace

TEST_CASE("checkpoints are written without a leader") {
    writing_cluster here(3);

    SUBCASE("not before one is due") {
        publish_profiles(here.cluster.log, 2'000);
        here.run(seconds(30));
        CHECK(here.parts.empty());
    }

    SUBCASE("after so many records one node writes one, whole") {
        publish_profiles(here.cluster.log, 2'048);
        here.run(seconds(300));
        CHECK(here.parts.size() == 1);
        CHECK(here.largest <= 65'536);
        for (auto& [id, node] : here.cluster.nodes()) {
            REQUIRE(node.follower.last_checkpoint());
            CHECK(node.follower.last_checkpoint()->covers == log_offset{2'048});
        }
        here.run(seconds(120));
        CHECK(here.parts.size() == 1);
        CHECK(here.parts.begin()->second > 10);
    }

    SUBCASE("the node whose turn it is is dead: the next one writes") {
        publish_profiles(here.cluster.log, 2'048);
        node_id const first =
            rendezvous_top("checkpoint/0", here.names, 1).front();
        here.dead[first] = true;
        here.run(seconds(300));
        CHECK(here.parts.size() == 1);
        CHECK(here.parts.count(first) == 0);
        CHECK(here.cluster.at(first.str()).follower.last_checkpoint());
    }

    SUBCASE("it dies half-way: the next one writes a whole one") {
        publish_profiles(here.cluster.log, 2'048);
        node_id const first =
            rendezvous_top("checkpoint/0", here.names, 1).front();
        here.run(seconds(1));
        REQUIRE(here.parts.count(first) == 1);
        here.dead[first] = true;
        here.run(seconds(300));
        CHECK(here.parts.size() == 2);
        CHECK(here.cluster.at(first.str()).follower.last_checkpoint());
    }

    SUBCASE("a part's lost answer: it is sent again, and does no harm") {
        publish_profiles(here.cluster.log, 2'048);
        for (node_id const& each : here.names) {
            here.next_results[each] = {
                append_result::not_sent, append_result::lost};
        }
        here.run(seconds(300));
        CHECK(here.parts.size() == 1);
        CHECK(here.cluster.at("n0").follower.last_checkpoint());
    }

    // Nothing is published for a weekend, and the log forgets every record,
    // the last checkpoint among them: a node that starts then finds nothing.
    SUBCASE("well before the newest one expires, also with no change") {
        publish_profiles(here.cluster.log, 10);
        here.run(seconds(10));
        CHECK(here.parts.empty());
        here.run(hours(6), seconds(20));
        here.run(seconds(300));
        REQUIRE(here.cluster.at("n0").follower.last_checkpoint());
        log_offset const once = here.cluster.log.head();
        here.run(hours(6), seconds(20));
        here.run(seconds(300));
        CHECK(here.cluster.log.head() > once);
    }
}

TEST_CASE("a node that has nothing writes no checkpoint") {
    writing_cluster here(1);
    config_cluster::node& node = here.cluster.at("n0");
    node.cut_from_log = true;
    publish_profiles(here.cluster.log, 3'000);
    here.run(seconds(60));
    CHECK(here.parts.empty());
}

} // namespace camphorpoint
