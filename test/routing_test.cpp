#include <Camphorpoint/Routing>

#include <doctest/doctest.h>

#include <cstdint>
#include <limits>

namespace camphorpoint {

namespace {

service_route route(std::string host, std::string prefix, std::string name) {
    service_route made;
    made.name = std::move(name);
    made.host = std::move(host);
    made.path_prefix = std::move(prefix);
    made.weighted_services.push_back({service_id("s"), 1});
    return made;
}

std::string name_of(
    route_table const& table, std::string_view host, std::string_view path) {
    service_route const* const found = table.find(host, path);
    return found == nullptr ? "none" : found->name;
}

} // namespace

TEST_CASE("a request finds its route") {
    routing_configuration all;
    all.routes = {
        route("a.example", "/", "whole host"), route("a.example", "/x/", "x"),
        route("a.example", "/x/y/", "y below x"),
        route("b.example", "/x/", "x of b")};
    route_table const table(all);

    SUBCASE("by the longest prefix that ends at a slash") {
        CHECK(name_of(table, "a.example", "/x/y/z") == "y below x");
        CHECK(name_of(table, "a.example", "/x/yz") == "x");
        CHECK(name_of(table, "a.example", "/other") == "whole host");
    }
    SUBCASE("by its own host, whatever the port") {
        CHECK(name_of(table, "b.example:8080", "/x/1") == "x of b");
        CHECK(name_of(table, "b.example", "/y/1") == "none");
        CHECK(name_of(table, "c.example", "/x/1") == "none");
    }
    SUBCASE("a query is not part of the path") {
        CHECK(name_of(table, "b.example", "/q?/x/") == "none");
        CHECK(name_of(table, "a.example", "/x/?y=/x/y/") == "x");
    }
    SUBCASE("an empty path finds no route") {
        CHECK(name_of(table, "a.example", "") == "none");
    }
}

TEST_CASE("a route's requests are split by weight") {
    service_route split = route("a.example", "/", "split");
    split.weighted_services = {
        {service_id("most"), 90}, {service_id("few"), 10}};
    constexpr auto most = std::numeric_limits<std::uint64_t>::max();

    CHECK(pick_service(split, 0).str() == "most");
    CHECK(pick_service(split, most / 100 * 89).str() == "most");
    CHECK(pick_service(split, most / 100 * 91).str() == "few");

    SUBCASE("the largest hash still selects a service") {
        CHECK(pick_service(split, most).str() == "few");
    }
    SUBCASE("a service with weight 0 gets no requests") {
        split.weighted_services = {
            {service_id("none"), 0}, {service_id("all"), 5}};
        CHECK(pick_service(split, 0).str() == "all");
    }
}

TEST_CASE("the route decides whether a request may run twice") {
    service_route made = route("a.example", "/", "r");
    made.kind = route_kind::unsafe;
    CHECK_FALSE(made.idempotent());
    made.kind = route_kind::safe;
    CHECK(made.idempotent());
    made.kind = route_kind::streaming;
    CHECK_FALSE(made.idempotent());
    made.resumable = true;
    CHECK(made.idempotent());
}

} // namespace camphorpoint
