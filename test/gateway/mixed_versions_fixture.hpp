#pragma once

#include "test/gateway/gateway_fixture.hpp"
#include "test/gateway/scripted_replica.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace camphorpoint::testing {

inline constexpr unsigned stream_events = 4;
inline constexpr unsigned replicas_per_version = 3;

/// How a caller's streams went on behind their first event.
struct continuations {
    /// Streams that have ended as complete.
    unsigned complete = 0;
    /// Streams with events from replicas of both software versions.
    unsigned mixed = 0;
    /// Resumptions that were refused as not run.
    unsigned refused = 0;
};

/// Three nodes in front of a service whose replicas run two software versions.
/// Streams below /runs/ may be sent to several replicas within one answer,
/// those below /alone/ to one.
class mixed_versions_fixture {
public:
    /// @param both     false to list the replicas of the old version only
    /// @param lifetime how long streams may be resumed
    /// @param full_polls interval of the nodes' full polls of the registry
    explicit mixed_versions_fixture(
        bool both = true,
        std::chrono::milliseconds lifetime = gateway_settings().stream_lifetime,
        std::chrono::milliseconds full_polls =
            gateway_settings().registry_full_poll_interval)
        : both_(both)
        , world_([&](gateway_fixture& before) {
            before.settings.stream_lifetime = lifetime;
            before.settings.registry_full_poll_interval = full_polls;
        }) {
        REQUIRE(world_.loop.run_until([&] { return world_.node->ready(); }));
        world_.configure(2, route("runs", 4) + route("alone", 1));
        for (unsigned each = 0; each < replicas_per_version; ++each) {
            list(old_, fmt::format("old{}", each), "v1");
            if (both_) {
                list(new_, fmt::format("new{}", each), "v2");
            }
        }
        world_.add_node();
        world_.add_node();
        for (std::size_t node = 0; node < 3; ++node) {
            REQUIRE(world_.loop.run_until([&] { return is_current(node); }));
        }
        // The nodes get to know each other.
        pass(std::chrono::milliseconds(300));
    }

    gateway_fixture& world() noexcept { return world_; }

    /// Lists the replicas of the new version.
    void list_new() {
        for (unsigned each = 0; each < replicas_per_version; ++each) {
            list(new_, fmt::format("new{}", each), "v2");
        }
    }

    /// Writes the entries of the replicas of the old version again.
    void list_old() {
        for (unsigned each = 0; each < replicas_per_version; ++each) {
            list(old_, fmt::format("old{}", each), "v1");
        }
    }

    /// Lists the replicas of the old version as ones of the new version.
    void change_old() {
        for (unsigned each = 0; each < replicas_per_version; ++each) {
            list(old_, fmt::format("old{}", each), "v2");
        }
    }

    /// Moves the routes to another service that may write streams.
    void move_routes() {
        declare_moved_routes();
        pass(std::chrono::milliseconds(500));
        REQUIRE(world_.node_at(0).configuration_version() == 3);
    }
    void declare_moved_routes() {
        world_.unlist(world_.plain);
        world_.metadata.store().put(
            "keyed.servers", "moved0", moved_.entry("app", "v1"));
        std::string moved = route("runs", 4) + route("alone", 1);
        std::string const from = "scripted";
        for (std::size_t at = moved.find(from); at != std::string::npos;
             at = moved.find(from)) {
            moved.replace(at, from.size(), "app");
        }
        world_.configure(3, moved);
    }

    /// Removes the replicas of one version from the registry.
    /// @param time that passes after it
    void unlist(
        std::string_view prefix,
        std::chrono::milliseconds time = std::chrono::milliseconds(300)) {
        for (unsigned each = 0; each < replicas_per_version; ++each) {
            world_.metadata.store().put(
                "keyed.servers", fmt::format("{}{}", prefix, each), "");
        }
        pass(time);
    }

    /// Sends a request whose first attempt ends behind its first event.
    /// @returns the caller's answer
    fetch_result begin_stream(
        std::size_t node, std::string_view path, std::string const& id) {
        scripted_attempt cut;
        cut.bytes = scripted_replica::event(1, 1).size();
        for (scripted_replica* const each : {&old_, &new_}) {
            each->script = {cut};
            each->last_event_ids.clear();
        }
        fetch_result answer = world_.ask_with_fields(
            node, fmt::format("/{}/{}", path, id), id, {});
        old_.script.clear();
        new_.script.clear();
        return answer;
    }

    /// Resumes a stream behind its first event.
    /// @param begun    what the caller names as the stream's first request;
    ///                 empty to name none
    /// @param patience the deadline that the caller names
    fetch_result resume(
        std::size_t node, std::string const& stream, std::string const& begun,
        std::chrono::milliseconds patience = std::chrono::milliseconds(3'000)) {
        http_fields fields;
        fields.add("X-Request-Deadline", std::to_string(patience.count()));
        fields.add("Last-Event-Id", "1");
        if (!begun.empty()) {
            fields.add("Resumes", begun);
        }
        return world_.ask_with_fields(
            node, "/alone/" + stream, stream + "-again", fields);
    }

    /// @returns true when replicas of both versions got the stream's requests
    bool is_mixed() const {
        return !old_.last_event_ids.empty() && !new_.last_event_ids.empty();
    }
    /// @returns true when the stream began at the old version
    bool began_at_old() const { return !old_.last_event_ids.empty(); }

    /// Forgets which replicas have got requests of the stream.
    void forget_requests() {
        old_.last_event_ids.clear();
        new_.last_event_ids.clear();
    }

    void add(fetch_result const& answer, continuations& to) const {
        bool const answered = answer.how == call_result::answered;
        bool const succeeded = answered && answer.response.status == 200;
        to.complete += succeeded ? 1 : 0;
        to.refused += answered && answer.response.status == 503 ? 1 : 0;
        to.mixed += is_mixed() ? 1 : 0;
    }

    void pass(std::chrono::milliseconds time) {
        within(world_, time, [] { return false; });
    }

private:
    static std::string route(std::string_view name, unsigned attempts) {
        return fmt::format(
            R"({{"name":"{0}","hostname":"h","path_prefix":"/{0}/",)"
            R"("type":"streaming","timeout_ms":3000,"target_latency_ms":800,)"
            R"("priority":0,"service":"scripted","attempts":{1},)"
            R"("resumable":true}},)",
            name, attempts);
    }
    void list(
        scripted_replica const& replica, std::string const& name,
        std::string const& software) {
        world_.metadata.store().put(
            "keyed.servers", name, replica.entry("scripted", software));
    }
    bool is_current(std::size_t node) {
        gateway& which = world_.node_at(node);
        return which.configuration_version() == 2 &&
               which.knows_replica(endpoint_id("old2")) &&
               (!both_ || which.knows_replica(endpoint_id("new2")));
    }

    bool both_;
    gateway_fixture world_;
    scripted_replica old_{world_.loop, stream_events};
    scripted_replica new_{world_.loop, stream_events};
    scripted_replica moved_{world_.loop, stream_events};
};

} // namespace camphorpoint::testing
