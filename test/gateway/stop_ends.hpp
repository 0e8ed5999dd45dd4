#pragma once

#include "Core/time.hpp"
#include "test/gateway/scripted_replica.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace camphorpoint::testing {

/// A stop of a node.
struct stop_times {
    instant begun;
    /// Until when the node sends requests that may outlast the stop.
    std::chrono::milliseconds accepts;
    /// The time that the node has.
    std::chrono::milliseconds limit;
};

/// Judges the end of a request whose node has cut its answer in a stop, by the
/// work of its replicas. The end is the stop's when a replica was still at work
/// in the last sixth of the limit on an attempt that was sent while the node
/// accepted requests, or when a replica has broken off.
/// @param attempts the request's attempts, in order
/// @returns what is wrong with the end, empty for nothing
inline std::string stop_end_problem(
    std::vector<attempt_record> const& attempts, stop_times const& stop) {
    // A busy machine is late.
    constexpr std::chrono::milliseconds slack{100};
    instant const accepted = stop.begun + stop.accepts + slack;
    instant const last_sixth = stop.begun + stop.limit * 5 / 6;
    bool const excused =
        std::ranges::any_of(attempts, [&](attempt_record const& each) {
            bool const early = each.began <= accepted;
            bool const at_work = !each.ended || *each.ended >= last_sixth;
            return each.broke_off || (early && each.dropped && at_work);
        });
    if (excused) {
        return "";
    }
    std::string problem = "cut, of attempts";
    for (attempt_record const& each : attempts) {
        auto const after = [&](instant when) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(
                       when - stop.begun)
                .count();
        };
        problem += fmt::format(
            " {} to {} ms{}", after(each.began),
            after(each.ended.value_or(each.began)),
            each.dropped ? " (dropped)" : "");
    }
    return problem;
}

/// Finds attempts that were sent too late in a stop: they may outlast it.
/// @param ends_at when the request ends at the latest
/// @returns what was found, empty for nothing
inline std::string late_send_problem(
    std::vector<attempt_record> const& attempts, stop_times const& stop,
    instant ends_at) {
    constexpr std::chrono::milliseconds slack{100};
    std::string problem;
    for (attempt_record const& each : attempts) {
        bool const late = each.began > stop.begun + stop.accepts + slack;
        if (late && ends_at > stop.begun + stop.limit) {
            auto const after =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    each.began - stop.begun);
            problem +=
                fmt::format("sent {} ms after the stop began; ", after.count());
        }
    }
    return problem;
}

} // namespace camphorpoint::testing
