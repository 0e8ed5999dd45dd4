#include "membership_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace camphorpoint::membership_test {

namespace {

auto sees(std::size_t index, node_state state) {
    return [id = node_id(network::name(index)), state](membership const& node) {
        return node.state_of(id) == state;
    };
}

std::size_t event_count(test_node const& node, event_code code) {
    return static_cast<std::size_t>(std::ranges::count(node.events, code));
}

} // namespace

// A node dies without a word; the platform's list names it for minutes more.
// Requests sent to it would hang until they time out.
TEST_CASE("the living find out who died, came back or stopped") {
    network net(9);
    net.run(seconds(5));
    REQUIRE(net.count(sees(4, node_state::live)) == 9);

    SUBCASE("a dead node is removed within seconds, by several accusers") {
        std::uint64_t const before = net.at(0).members.change_count();
        net.at(4).dead = true;
        net.run(seconds(8));
        CHECK(net.count(sees(4, node_state::dead)) == 8);
        CHECK(net.at(0).members.live_nodes().size() == 8);
        CHECK(net.at(0).members.change_count() > before);

        SUBCASE("and the late list does not bring it back") {
            for (int count = 0; count < 90; ++count) {
                net.deliver_instance_list();
                net.run(seconds(1));
            }
            CHECK(net.count(sees(4, node_state::dead)) == 8);
        }

        SUBCASE("but its next run does, and is told apart") {
            net.start_node(net.name(4), 2)
                .members.on_instance_list(net.list, net.now);
            net.run(seconds(8));
            CHECK(net.count(sees(4, node_state::live)) == 9);
            std::vector<live_node> const live = net.at(0).members.live_nodes();
            CHECK(live.at(4).start_time_ms == 2);
        }
    }

    SUBCASE("a node that stops says so, and is not taken for dead") {
        net.at(4).members.start_leaving(net.now);
        net.run(seconds(1));
        CHECK(net.count(sees(4, node_state::leaving)) == 9);
        net.run(seconds(20));
        CHECK(net.count(sees(4, node_state::leaving)) == 9);
        CHECK(net.at(0).members.live_nodes().at(4).leaving);
    }
}

// A node is stopped for half a minute (a debugger, a migration) and goes on.
// The others have given it up; if it stayed dead, its capacity were lost, and
// if it accused the others on waking, they were.
TEST_CASE("a paused node comes back") {
    network net(9);
    net.run(seconds(5));
    net.at(2).paused = true;
    net.run(seconds(30));
    REQUIRE(net.count(sees(2, node_state::dead)) == 8);
    net.at(2).paused = false;
    net.run(seconds(8));
    CHECK(net.count(sees(2, node_state::live)) == 9);
    CHECK(event_count(net.at(2), event_code::suspicion_refuted) >= 1);
    CHECK(event_count(net.at(2), event_code::node_suspected) == 0);
    CHECK(net.at(0).members.live_nodes().size() == 9);
}

// One node's network card loses what it receives from another, or one node is
// mad. It accuses a node that is well; were it believed, a healthy node's
// replicas would change owners.
TEST_CASE("a lone accuser removes nobody") {
    network net(9);
    net.run(seconds(5));

    SUBCASE("one link is cut: others probe on its behalf") {
        net.drops_datagram = [&](std::string const& from,
                                 std::string const& to) {
            return (from == net.name(0) && to == net.name(1)) ||
                   (from == net.name(1) && to == net.name(0));
        };
        net.run(seconds(60));
        CHECK(net.count(sees(1, node_state::live)) == 9);
    }

    SUBCASE("an accuser that never tires is refuted each time") {
        for (int count = 0; count < 20; ++count) {
            probe false_report;
            false_report.from = node_id(net.name(0));
            false_report.updates.push_back(
                {update_kind::node_dead,
                 net.name(1),
                 {1, 0},
                 {node_id(net.name(0))}});
            net.at(5).members.on_probe(false_report, net.now);
            net.run(seconds(1));
            CHECK(net.count(sees(1, node_state::dead)) == 0);
        }
        CHECK(net.count(sees(1, node_state::live)) == 9);
    }

    SUBCASE("one that hears nobody at all condemns nobody") {
        net.drops_datagram = [&](std::string const&, std::string const& to) {
            return to == net.name(0);
        };
        net.run(seconds(30));
        // The others hear its probes, so it is alive to them.
        CHECK(net.at(0).members.live_nodes().size() == 9);
        CHECK(net.count(sees(1, node_state::dead)) == 0);
    }
}

// A failure domain is cut off. Each side must go on with its own; when the
// cut heals, all must be one again without anybody's help.
TEST_CASE("a failure domain is cut off and comes back") {
    network net(9);
    net.run(seconds(5));
    auto const live_nodes_of = [&](std::string const& name) {
        return net.nodes.at(name).members.live_nodes();
    };
    net.drops_datagram = [](std::string const& from, std::string const& to) {
        auto const domain = [](std::string const& name) {
            return (std::stoul(name.substr(5)) - 1'000) % 3;
        };
        return (domain(from) == 0) != (domain(to) == 0);
    };
    net.run(seconds(15));
    CHECK(live_nodes_of(net.name(0)).size() == 3);
    CHECK(live_nodes_of(net.name(1)).size() == 6);
    net.drops_datagram = [](std::string const&, std::string const&) {
        return false;
    };
    net.run(seconds(20));
    CHECK(net.count([](membership const& each) {
        return each.live_nodes().size() == 9;
    }) == 9);
}

// An endpoint is told to leave and refuses new work; the list will say so
// only a minute later. Every request sent there meanwhile is refused, and the
// caller waits for nothing.
TEST_CASE("a leaving endpoint gets no new work after two seconds") {
    constexpr std::size_t node_count = 200;
    network net(node_count);
    endpoint_instance engine;
    engine.id = endpoint_id("engine-1");
    net.list.endpoints.push_back(engine);
    net.deliver_instance_list();
    net.run(seconds(15));
    auto const sees_leaving = [&](membership const& node) {
        return node.state_of(engine.id) == endpoint_state::leaving;
    };
    net.at(7).members.report_endpoint_leaving(engine.id, net.now);
    CHECK(net.at(7).members.live_endpoints().empty());
    milliseconds elapsed{};
    while (net.count(sees_leaving) < node_count && elapsed < seconds(5)) {
        net.run(step);
        elapsed += step;
    }
    MESSAGE("ms until 200 nodes knew: ", elapsed.count());
    CHECK(elapsed <= seconds(2));

    SUBCASE("a late list does not bring it back") {
        net.deliver_instance_list();
        net.run(seconds(30));
        net.deliver_instance_list();
        CHECK(net.count(sees_leaving) == node_count);
    }

    SUBCASE("a report that stays without the list's word ends") {
        net.run(seconds(70));
        net.deliver_instance_list();
        CHECK(net.count(sees_leaving) == 0);
    }

    SUBCASE("one that was gone and is named again is a new one") {
        instance_list const with = net.list;
        net.list.endpoints.clear();
        net.deliver_instance_list();
        net.list = with;
        net.deliver_instance_list();
        CHECK(net.count(sees_leaving) == 0);
    }
}

// A route between one node and one engine is broken. That node must look
// elsewhere; the others must go on using the engine.
TEST_CASE("an endpoint that fails one node's calls is avoided by it alone") {
    network net(3);
    endpoint_instance engine;
    engine.id = endpoint_id("engine-1");
    net.list.endpoints.push_back(engine);
    net.deliver_instance_list();
    membership& first = net.at(0).members;
    first.on_endpoint_call(engine.id, false, net.now);
    first.on_endpoint_call(engine.id, false, net.now);
    CHECK(first.state_of(engine.id) == endpoint_state::live);
    first.on_endpoint_call(engine.id, false, net.now);
    CHECK(first.state_of(engine.id) == endpoint_state::suspect);
    net.run(seconds(3));
    CHECK(first.live_endpoints().empty());
    CHECK(net.at(1).members.live_endpoints().size() == 1);
    net.run(seconds(3));
    CHECK(first.state_of(engine.id) == endpoint_state::live);
}

TEST_CASE("datagrams are short, and broken ones are dropped") {
    SUBCASE("one that is cut, or longer than said, is counted") {
        network net(3);
        probe message;
        message.from = node_id(net.name(1));
        message.updates.push_back(
            {update_kind::node_dead, net.name(2), {1, 0}, {}, {}});
        std::string const good = encode_probe(message);
        REQUIRE(decode_probe(good));
        membership& first = net.at(0).members;
        first.on_datagram(good.substr(0, good.size() - 1), net.now);
        first.on_datagram(good + "x", net.now);
        first.on_datagram("", net.now);
        first.on_datagram(std::string(2'000, '\0'), net.now);
        std::string corrupted = good;
        corrupted[4] = '\xff';
        corrupted[10] = '\xff';
        first.on_datagram(corrupted, net.now);
        CHECK(first.malformed_datagrams() == 5);
    }

    SUBCASE("a wave of news fits: half of 120 nodes die at once") {
        network net(120);
        net.run(seconds(10));
        for (std::size_t index = 0; index < 120; index += 2) {
            net.at(index).dead = true;
        }
        net.run(seconds(60));
        CHECK(net.longest_datagram <= max_datagram_bytes);
        CHECK(net.count([](membership const& each) {
            return each.live_nodes().size() == 60;
        }) == 60);
        MESSAGE("longest datagram: ", net.longest_datagram);
    }
}

// The control traffic of a node may be 5 KB/s at 1,900 nodes. All that is
// sent and received counts, with the headers of UDP and IP.
TEST_CASE("probes cost little at the design size") {
    constexpr std::size_t node_count = 1'900;
    network net(node_count, 35);
    endpoint_id const engine("engine-1");
    net.run(seconds(5));
    auto const bytes = [&] {
        std::size_t most = 0;
        for (auto& [id, each] : net.nodes) {
            most = std::max(most, each.bytes);
            each.bytes = 0;
        }
        return most;
    };
    bytes();
    net.run(seconds(5));
    std::size_t const idle_bytes_per_s = bytes() / 5;
    CHECK(idle_bytes_per_s < 2'500);
    net.at(17).dead = true;
    net.run(seconds(10));
    std::size_t const failure_bytes_per_s = bytes() / 10;
    CHECK(failure_bytes_per_s < 5'000);
    CHECK(net.count(sees(17, node_state::dead)) > node_count / 2);
    net.at(7).members.report_endpoint_leaving(engine, net.now);
    net.run(seconds(2));
    CHECK(net.count([&](membership const& node) {
        return node.state_of(engine) == endpoint_state::leaving;
    }) == node_count - 1);
    MESSAGE(
        "bytes a second, busiest node, calm: ", idle_bytes_per_s,
        ", death: ", failure_bytes_per_s);
}

} // namespace camphorpoint::membership_test
