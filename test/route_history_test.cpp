#include <Camphorpoint/Routing>

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace camphorpoint {

using std::chrono::seconds;

namespace {

constexpr software_key version{11};
constexpr seconds memory{60};

instant at(int second) {
    return instant{} + std::chrono::hours(1) + seconds(second);
}

using shares = std::vector<std::pair<std::string, double>>;

service_route stream_route(std::string prefix, shares const& services) {
    service_route made;
    made.host = std::string("h");
    made.path_prefix = std::move(prefix);
    made.kind = route_kind::streaming;
    made.resumable = true;
    for (auto const& [service, weight] : services) {
        made.weighted_services.push_back({service_id(service), weight});
    }
    return made;
}

route_table table(std::vector<service_route> routes) {
    routing_configuration all;
    all.routes = std::move(routes);
    return route_table(all);
}

/// A node's view of the routes.
struct node {
    route_table routes;
    route_history history{memory};

    void change(route_table next, instant now) {
        history.note_change(routes, next, now);
        routes = std::move(next);
    }
    /// @returns true when all streams of the service began there, where its
    ///          replicas have one version
    bool is_single(std::string const& service, instant now) const {
        return history
            .limit(
                {version_knowledge::recorded, version}, service_id(service),
                now)
            .only()
            .has_value();
    }
};

} // namespace

// Guards against a stream that goes on at the single version of a service to
// which its route has moved.
TEST_CASE("a service to which a route has moved has streams of two services") {
    node one;
    one.change(
        table(
            {stream_route("/r/", {{"a", 1}}), stream_route("/s/", {{"b", 1}})}),
        at(0));
    REQUIRE(one.is_single("a", at(100)));
    REQUIRE(one.is_single("b", at(100)));

    SUBCASE("while streams of the earlier one may be resumed") {
        one.change(
            table(
                {stream_route("/r/", {{"b", 1}}),
                 stream_route("/s/", {{"b", 1}})}),
            at(100));
        CHECK_FALSE(one.is_single("b", at(100)));
        CHECK_FALSE(one.is_single("b", at(159)));
        CHECK(one.is_single("b", at(160)));
        CHECK(one.is_single("a", at(100)));
    }
    SUBCASE("also if only a part of its requests moves") {
        one.change(
            table(
                {stream_route("/r/", {{"a", 3}, {"b", 1}}),
                 stream_route("/s/", {{"b", 1}})}),
            at(100));
        CHECK_FALSE(one.is_single("b", at(101)));
        CHECK(one.is_single("a", at(101)));
    }
    SUBCASE("also if a longer prefix takes some of its paths") {
        one.change(
            table(
                {stream_route("/r/", {{"a", 1}}),
                 stream_route("/r/x/", {{"c", 1}}),
                 stream_route("/s/", {{"b", 1}})}),
            at(100));
        CHECK_FALSE(one.is_single("c", at(101)));
        CHECK(one.is_single("a", at(101)));
        SUBCASE("and returns them") {
            one.change(table({stream_route("/r/", {{"a", 1}})}), at(102));
            CHECK_FALSE(one.is_single("a", at(103)));
        }
    }
    SUBCASE("also if it was removed in between") {
        one.change(table({stream_route("/s/", {{"b", 1}})}), at(100));
        one.change(
            table(
                {stream_route("/r/", {{"b", 1}}),
                 stream_route("/s/", {{"b", 1}})}),
            at(110));
        CHECK_FALSE(one.is_single("b", at(111)));
    }
    SUBCASE("but not if the route is new, or none moves") {
        one.change(
            table(
                {stream_route("/s/", {{"b", 2}}),
                 stream_route("/new/", {{"b", 1}}),
                 stream_route("/r/", {{"a", 5}})}),
            at(100));
        CHECK(one.is_single("a", at(101)));
        CHECK(one.is_single("b", at(101)));
    }
}

// Guards against a node that takes the routes which it has read at its start
// for those at which older streams began.
TEST_CASE("a node that has just started does not know of earlier routes") {
    route_table const routes = table({stream_route("/r/", {{"a", 1}})});
    node one;
    SUBCASE("until streams of that time are too old") {
        CHECK_FALSE(one.is_single("a", at(0)));
        one.change(routes, at(0));
        CHECK_FALSE(one.is_single("a", at(59)));
        CHECK(one.is_single("a", at(60)));
    }
    SUBCASE("unless the store states that they were the same") {
        node earlier;
        earlier.change(routes, at(0));
        one.history.adopt(service_id("a"), earlier.history.fingerprint());
        CHECK_FALSE(one.is_single("a", at(100)));
        one.change(routes, at(100));
        CHECK(one.is_single("a", at(100)));
        one.change(table({stream_route("/q/", {{"a", 1}})}), at(101));
        CHECK_FALSE(one.is_single("a", at(102)));
    }
    SUBCASE("nor if the store states other ones") {
        node earlier;
        earlier.change(table({stream_route("/r/", {{"b", 1}})}), at(0));
        one.history.adopt(service_id("a"), earlier.history.fingerprint());
        one.change(routes, at(100));
        CHECK_FALSE(one.is_single("a", at(101)));
    }
    SUBCASE("unless no node has served before") {
        one.history.adopt_first_start();
        one.change(routes, at(0));
        CHECK(one.is_single("a", at(0)));
    }
}

namespace {

/// Routes that change at random, a node that is restarted at random, and the
/// store's record of each service, which is one change late at times.
class random_routes {
public:
    explicit random_routes(unsigned seed)
        : random_(seed) {}

    /// @returns streams that would go on at a service at which they did not
    ///          begin
    unsigned play() {
        unsigned joined = 0;
        for (now_ = 0; now_ < 600; ++now_) {
            if (now_ == 0 || below(30) == 0) {
                change_routes();
                one_.change(epochs_.back().routes, at(now_));
            } else {
                write_records();
            }
            if (below(40) == 0) {
                restart();
            }
            joined += count_joined();
        }
        return joined;
    }
    unsigned resumed() const noexcept { return resumed_; }

private:
    struct epoch {
        int from;
        route_table routes;
    };

    unsigned below(unsigned end) { return random_() % end; }
    std::string any_service() { return std::string(1, "abc"[below(3)]); }

    /// Removes a route, or lets it lead to other services.
    void change_route(std::string const& prefix) {
        std::erase_if(routes_, [&](service_route const& each) {
            return each.path_prefix == prefix;
        });
        if (below(4) != 0) {
            shares parts{{any_service(), 1}};
            if (below(2) == 0) {
                parts.emplace_back(any_service(), 1 + below(3));
            }
            routes_.push_back(stream_route(prefix, parts));
            bool const plain = below(8) == 0;
            routes_.back().kind =
                plain ? route_kind::safe : route_kind::streaming;
        }
    }
    void change_routes() {
        constexpr std::array prefixes{"/", "/r/", "/r/x/", "/s/"};
        change_route(prefixes.at(below(prefixes.size())));
        epochs_.push_back({now_, table(routes_)});
    }
    void write_records() {
        for (char const* const each : {"a", "b", "c"}) {
            records_[each] = {
                one_.is_single(each, at(now_)), one_.history.fingerprint()};
        }
    }
    void restart() {
        one_ = node();
        for (auto const& [service, record] : records_) {
            if (record.first) {
                one_.history.adopt(service_id(service), record.second);
            }
        }
        one_.change(epochs_.back().routes, at(now_));
    }
    static std::string
    target(route_table const& routes, char const* path, std::uint64_t hash) {
        service_route const* const found = routes.find("h", path);
        bool const streams =
            found != nullptr && found->kind == route_kind::streaming;
        return streams ? pick_service(*found, hash).str() : "";
    }
    unsigned count_joined() {
        unsigned joined = 0;
        for (char const* const path : {"/1", "/r/1", "/r/x/1", "/s/1"}) {
            std::uint64_t const hash =
                std::uniform_int_distribution<std::uint64_t>()(random_);
            std::string const now = target(one_.routes, path, hash);
            if (now.empty() || !one_.is_single(now, at(now_))) {
                continue;
            }
            ++resumed_;
            joined += began_elsewhere(path, hash, now) ? 1 : 0;
        }
        return joined;
    }
    /// @returns true when a stream that may still be resumed began at another
    ///          service
    bool began_elsewhere(
        char const* path, std::uint64_t hash, std::string const& now) const {
        for (std::size_t each = 0; each + 1 < epochs_.size(); ++each) {
            std::string const then = target(epochs_[each].routes, path, hash);
            bool const ended = epochs_[each + 1].from + memory.count() <= now_;
            if (!ended && !then.empty() && then != now) {
                return true;
            }
        }
        return false;
    }

    std::mt19937 random_;
    int now_ = 0;
    node one_;
    std::vector<service_route> routes_;
    std::deque<epoch> epochs_;
    std::map<std::string, std::pair<bool, route_fingerprint>> records_;
    unsigned resumed_ = 0;
};

} // namespace

// Guards against a stream that goes on at another service, whatever routes were
// in force in between.
TEST_CASE("no stream is joined of two services when routes change at random") {
    unsigned resumed = 0;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        random_routes routes(seed);
        CHECK(routes.play() == 0);
        resumed += routes.resumed();
    }
    // Of 480,000; each service is given requests every minute or two.
    CHECK(resumed > 10'000);
}

} // namespace camphorpoint
