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

// Guards against requests to a dead node, which would hang until they time out:
// the platform's instance list contains a node for minutes after it died
// without notice.
TEST_CASE("nodes learn which node has died, returned or is leaving") {
    network net(9);
    net.run(seconds(5));
    REQUIRE(net.count(sees(4, node_state::live)) == 9);

    SUBCASE("a dead node is removed within seconds, on several suspicions") {
        std::uint64_t const before = net.at(0).members.change_count();
        net.at(4).dead = true;
        net.run(seconds(8));
        CHECK(net.count(sees(4, node_state::dead)) == 8);
        CHECK(net.at(0).members.live_nodes().size() == 8);
        CHECK(net.at(0).members.change_count() > before);

        SUBCASE("an outdated instance list does not revive it") {
            for (int count = 0; count < 90; ++count) {
                net.deliver_instance_list();
                net.run(seconds(1));
            }
            CHECK(net.count(sees(4, node_state::dead)) == 8);
        }

        SUBCASE("its next process revives it and has a new start time") {
            net.start_node(net.name(4), 2)
                .members.on_instance_list(net.list, net.now);
            net.run(seconds(8));
            CHECK(net.count(sees(4, node_state::live)) == 9);
            std::vector<live_node> const live = net.at(0).members.live_nodes();
            CHECK(live.at(4).start_time_ms == 2);
        }
    }

    SUBCASE("a node that shuts down is seen as leaving, not as dead") {
        net.at(4).members.start_leaving(net.now);
        net.run(seconds(1));
        CHECK(net.count(sees(4, node_state::leaving)) == 9);
        net.run(seconds(20));
        CHECK(net.count(sees(4, node_state::leaving)) == 9);
        CHECK(net.at(0).members.live_nodes().at(4).leaving);
    }
}

// Guards against the loss of a node that was stopped for half a minute (a
// debugger, a migration) and continues. The other nodes have declared it dead;
// its capacity would be lost if it stayed dead, and theirs if it suspected them
// on resuming.
TEST_CASE("a paused node becomes live again") {
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

// Guards against the removal of a healthy node, whose replicas would change
// owners, on the evidence of a single other node: one that loses datagrams on
// one link, or a faulty one that sends false reports.
TEST_CASE("a single suspecting node removes no node") {
    network net(9);
    net.run(seconds(5));

    SUBCASE("one link is cut: other nodes send indirect probes") {
        net.drops_datagram = [&](std::string const& from,
                                 std::string const& to) {
            return (from == net.name(0) && to == net.name(1)) ||
                   (from == net.name(1) && to == net.name(0));
        };
        net.run(seconds(60));
        CHECK(net.count(sees(1, node_state::live)) == 9);
    }

    SUBCASE("a node that repeats a false report is refuted each time") {
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

    SUBCASE("a node that receives nothing removes no node") {
        net.drops_datagram = [&](std::string const&, std::string const& to) {
            return to == net.name(0);
        };
        net.run(seconds(30));
        // The other nodes receive its probes, so they see it as live.
        CHECK(net.at(0).members.live_nodes().size() == 9);
        CHECK(net.count(sees(1, node_state::dead)) == 0);
    }
}

// Guards against views that stay divided after a network partition. While a
// failure domain is cut off, each side must continue with its own nodes; after
// the partition all nodes must be members again without operator action.
TEST_CASE("a failure domain is cut off and reconnected") {
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

// Guards against requests to an endpoint that refuses them because it is
// leaving. The instance list reports this only a minute later, and the caller
// of each refused request waits in vain.
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
    MESSAGE(
        "ms until 200 nodes saw the endpoint as leaving: ", elapsed.count());
    CHECK(elapsed <= seconds(2));

    SUBCASE("an outdated instance list does not revive it") {
        net.deliver_instance_list();
        net.run(seconds(30));
        net.deliver_instance_list();
        CHECK(net.count(sees_leaving) == node_count);
    }

    SUBCASE("a report that the instance list does not confirm expires") {
        net.run(seconds(70));
        net.deliver_instance_list();
        CHECK(net.count(sees_leaving) == 0);
    }

    SUBCASE("an endpoint that was unlisted and is listed again is live") {
        instance_list const with = net.list;
        net.list.endpoints.clear();
        net.deliver_instance_list();
        net.list = with;
        net.deliver_instance_list();
        CHECK(net.count(sees_leaving) == 0);
    }
}

// Guards against the loss of an endpoint for all nodes when only the route from
// one node to it is broken. That node must use other endpoints; the other nodes
// must continue to use this one.
TEST_CASE("only the node whose calls fail avoids an endpoint") {
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

// Guards against an endpoint that is avoided for seconds after a short silence,
// or for deadlines that are too short for its answers.
TEST_CASE("a deadline counts against an endpoint only in a long silence") {
    network net(1);
    endpoint_instance engine;
    engine.id = endpoint_id("engine-1");
    net.list.endpoints.push_back(engine);
    net.deliver_instance_list();
    membership& node = net.at(0).members;
    auto const time_out = [&](std::chrono::milliseconds silence,
                              bool answered) {
        net.now += silence;
        answer_trace trace;
        trace.answered = answered;
        trace.silence = silence;
        node.on_endpoint_timeout(engine.id, trace, net.now);
        return node.state_of(engine.id);
    };
    std::chrono::milliseconds const second(1'000);

    SUBCASE("it is live through two seconds of silence") {
        CHECK(time_out(second, false) == endpoint_state::live);
        CHECK(time_out(second / 2, false) == endpoint_state::live);
        CHECK(time_out(second / 2, false) == endpoint_state::live);
        SUBCASE("and suspect after three") {
            CHECK(time_out(second, false) == endpoint_state::suspect);
        }
        SUBCASE("and after a part of an answer from the beginning") {
            CHECK(time_out(second, true) == endpoint_state::live);
            CHECK(time_out(second, false) == endpoint_state::live);
        }
        SUBCASE("and after a complete answer from the beginning") {
            node.on_endpoint_call(engine.id, true, net.now);
            CHECK(time_out(second, false) == endpoint_state::live);
            CHECK(time_out(second, false) == endpoint_state::live);
        }
    }
    SUBCASE("one call alone makes nothing suspect") {
        CHECK(time_out(4 * second, false) == endpoint_state::live);
    }
    SUBCASE("an endpoint that sends until each deadline is live") {
        for (int call = 0; call < 10; ++call) {
            CHECK(time_out(second / 2, true) == endpoint_state::live);
        }
    }
}

// Guards against datagrams that are fragmented on their way, and against
// malformed datagrams that are taken for messages.
TEST_CASE("datagrams are short, and malformed ones are dropped") {
    SUBCASE("truncated, oversized and corrupted datagrams are counted") {
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

    SUBCASE("updates fit when half of 120 nodes die at once") {
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
        MESSAGE("longest datagram in bytes: ", net.longest_datagram);
    }
}

// Guards against control traffic of more than 5 KB/s per node at 1,900 nodes.
// All bytes sent and received count, with the headers of UDP and IP.
TEST_CASE("probes take little bandwidth at 1,900 nodes") {
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
        "bytes per second of the busiest node: idle ", idle_bytes_per_s,
        ", after a failure ", failure_bytes_per_s);
}

} // namespace camphorpoint::membership_test
