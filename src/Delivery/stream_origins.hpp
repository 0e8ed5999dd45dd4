#pragma once

#include "Core/ids.hpp"
#include "Core/software_key.hpp"
#include "Core/time.hpp"
#include "Routing/routing_configuration.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorpoint {

/// Identifies a stream over all requests of its caller.
enum class stream_key : std::uint64_t {};

/// @param first_request the request that brought the first event of the stream
/// @returns the key of a stream, the same on every node
stream_key make_stream_key(
    request_id const& first_request, service_id const& service,
    adapter_id const& adapter);

/// A caller resumes its stream within this time after it has begun or was last
/// resumed, unless the settings say otherwise.
inline constexpr std::chrono::milliseconds default_stream_lifetime{60'000};

/// What a node has recorded of a stream.
enum class origin_state : std::uint8_t {
    unknown,
    known,
    /// The stream has begun more than once, at different software versions.
    ambiguous
};

/// The software version whose replica wrote a stream.
struct stream_origin {
    origin_state state = origin_state::unknown;
    /// Set when the origin is known.
    software_key software{};
};

/// A stream and the software version whose replica wrote its events.
struct stream_record {
    stream_key stream{};
    software_key software{};
};

/// What one node knows of a stream that is to be resumed.
struct origin_evidence {
    stream_origin origin;
    /// The versions of the stream's service.
    service_versions versions;
};

/// By what the software version of a resumed stream is known, or why it is not.
enum class origin_source : std::uint8_t {
    /// No node knows anything of it.
    unknown,
    /// Recorded at different software versions.
    ambiguous,
    /// Not recorded, and the nodes have seen several versions.
    several_versions,
    /// Not recorded, and one node knows a single version, but its view may be
    /// older than the stream.
    unconfirmed,
    own_record,
    peer_record,
    /// Not recorded, but the service has a single version, as this node or a
    /// peer has observed or read in the store.
    own_observation,
    own_store_record,
    peer_observation,
    peer_store_record
};

/// @returns the name of a source in logs
std::string_view name_of(origin_source source);

/// At which software version a stream may be resumed.
struct resumption_choice {
    /// Nothing when the stream must not be resumed.
    std::optional<software_key> software;
    origin_source source = origin_source::unknown;
};

/// At which software version a stream may be resumed, and how that was found.
struct stream_resumption {
    resumption_choice choice;
    /// Nodes that were asked, and those that have answered.
    unsigned asked = 0;
    unsigned answered = 0;
    /// The store has shown that this node's view was current.
    bool confirmed = false;
};

/// What shows that the nodes that have seen no other version would have seen
/// it. The stream may have begun a moment before its resumption arrived, at a
/// version that appeared just then.
struct view_evidence {
    /// The store has answered a read that was sent after the resumption
    /// arrived, and this node's view lacks nothing.
    bool confirmed = false;
    /// Other nodes were asked, and all of them have answered. The answer of a
    /// node that knows of no version confirms none.
    bool all_answered = false;
};

/// Decides at which software version a stream may be resumed. One that is
/// recorded needs no further evidence. A single version counts if this node
/// knows it and its view is confirmed, or if all nodes that were asked agree: a
/// node that knows of no version, as after its start, does not.
/// @param evidence what the nodes know that have been asked, this one first
/// @param view     how current that is
resumption_choice choose_resumption(
    std::span<origin_evidence const> evidence, view_evidence const& view);

/// The software versions of streams that callers may still resume: of streams
/// that began at this node, and of those for which this node is a keeper.
class stream_origins {
public:
    /// @param lifetime    how long callers may resume a stream
    /// @param max_entries the oldest entries are dropped beyond this number
    explicit stream_origins(
        duration lifetime = default_stream_lifetime,
        std::size_t max_entries = 65'536)
        : lifetime_(lifetime)
        , max_entries_(max_entries) {}

    /// Records that a replica of the version has written events of a stream.
    void add(stream_record const& record, instant now);
    /// @returns what is recorded of the stream
    stream_origin find(stream_key stream, instant now) const;
    /// @returns the number of entries
    std::size_t size() const noexcept { return entries_.size(); }

    /// Queues a stream of this node whose origin no other node knows.
    void defer_announcement(
        service_id const& service, stream_record const& record, instant now);
    /// Drops a stream from the queue: its caller has all of it.
    void cancel_announcement(stream_key stream);
    /// @returns the services that have queued streams
    std::vector<service_id> deferred_services() const;
    /// Removes queued streams of a service, the oldest first.
    std::vector<stream_record> take_deferred(
        service_id const& service, std::size_t max_count, instant now);

private:
    struct entry {
        stream_origin origin;
        instant recorded_at;
    };
    struct deferred_record {
        stream_record record;
        instant queued_at;
    };

    void expire(instant now);

    duration lifetime_;
    std::size_t max_entries_;
    std::unordered_map<stream_key, entry> entries_;
    /// Every recording, the oldest first.
    std::deque<std::pair<stream_key, instant>> recorded_;
    std::unordered_map<service_id, std::deque<deferred_record>> deferred_;
    /// The streams of these queues that may still be announced, and when each
    /// was last queued.
    std::unordered_map<stream_key, instant> pending_streams_;
};

} // namespace camphorpoint
