#pragma once

#include "Core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace camphorpoint {

/// What a node does with requests when its configuration may be out of date.
enum class staleness_policy : std::uint8_t {
    /// Serve with what there is, and say so in an event.
    serve,
    /// Refuse when neither the log nor any peer answered for max_staleness.
    refuse_when_isolated,
    /// Refuse when not known to be at the log's head for max_staleness, even
    /// while peers answer: a log outage then stops all serving.
    refuse_when_unconfirmed
};

/// How a node follows the configuration. docs/design/configuration.md gives
/// the reasons for the defaults.
struct follower_settings {
    /// The reads that all nodes together may ask of the log in a second.
    std::uint32_t reads_per_second = 400;
    std::chrono::milliseconds shortest_poll{500};
    /// Leaves a second of the 5 s within which a change must be in force.
    std::chrono::milliseconds longest_poll{4'000};
    /// A read with no answer after this is taken for failed.
    std::chrono::milliseconds read_timeout{5'000};
    /// A read that takes longer makes the node ask its peers meanwhile.
    std::chrono::milliseconds slow_read{1'000};
    /// Between two reads that something urgent asks for.
    std::chrono::milliseconds urgent_pause{50};
    /// After a search through the whole log that found no checkpoint.
    std::chrono::milliseconds search_pause{10'000};
    /// How many peers get new records unasked, or are asked at once.
    std::size_t fanout = 4;
    /// Where the poll interval is longer than this, one peer is asked so often:
    /// new records miss a few nodes of many, and these need not wait.
    std::chrono::milliseconds pull_every{1'000};
    /// How long answers to one round of asks are waited for.
    std::chrono::milliseconds ask_timeout{500};
    /// A state transfer without a new part for this long is given up.
    std::chrono::milliseconds transfer_timeout{3'000};
    /// How far back from the head a checkpoint is first looked for, in
    /// records; four times as far each time that none is found.
    std::uint64_t first_search = 4'096;
    /// The latest records that are kept for peers that are behind.
    std::size_t kept_records = 512;
    std::chrono::milliseconds max_staleness{30'000};
    staleness_policy when_stale = staleness_policy::refuse_when_isolated;
};

} // namespace camphorpoint
