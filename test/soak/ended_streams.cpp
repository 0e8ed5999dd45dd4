#include "test/soak/ended_streams.hpp"

#include "test/soak/stop_excuse.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <map>
#include <signal.h>
#include <string>

namespace camphorpoint::soak {

namespace {

using std::chrono::milliseconds;
using runs_by_request = std::multimap<std::string, std::string>;

/// A stream ends so soon after its replica.
constexpr milliseconds end_slack{1'000};

/// @returns true when links break off connections unseen
bool cuts_connections(soak_settings const& settings) {
    return settings.link_faults / 2 > 0 || settings.broken_answers > 0 ||
           settings.endless_answers > 0;
}

/// @returns true when the connection ended while more of a stream was due
bool ended_early(sent_request const& request, milliseconds time_out) {
    constexpr int success = 200;
    return request.status == success && !request.answered &&
           request.ended < request.begun + std::min(request.patience, time_out);
}

bool was_killed(
    std::vector<end_signal> const& signals, sent_request const& request) {
    return std::ranges::any_of(signals, [&](end_signal const& each) {
        return each.number == SIGKILL && each.at >= request.begun &&
               each.at <= request.ended;
    });
}

/// @returns true for the first SIGTERM to a process
bool begins_stop(
    std::vector<end_signal> const& signals, end_signal const& which) {
    auto const first =
        std::ranges::find_if(signals, [&](end_signal const& each) {
            return each.process == which.process && each.number == SIGTERM;
        });
    return first != signals.end() && first->at == which.at;
}

/// @param run a name: the replica, its process and a number, with dots
/// @returns the process, 0 when the name has none
pid_t process_of(std::string const& run) {
    std::size_t const dot = run.find('.');
    return dot == std::string::npos ? 0
                                    : static_cast<pid_t>(std::strtol(
                                          run.c_str() + dot + 1, nullptr, 10));
}

/// What a run's replicas and processes tell of the ends of streams.
class end_judge {
public:
    end_judge(
        run_records const& records, end_records const& ends,
        soak_settings const& settings)
        : records_(&records)
        , ends_(&ends)
        , settings_(&settings) {
        for (auto const& [name, run] : records.runs) {
            runs_.emplace(run.request, name);
        }
    }

    bool is_excused(sent_request const& request) const {
        return was_killed(ends_->nodes[request.node], request) ||
               was_killed(ends_->links[request.node], request) ||
               has_broken(request) || has_lost_successor(request) ||
               ended_with_stop(request);
    }

private:
    std::vector<std::string> runs_of(sent_request const& request) const {
        if (records_->runs.contains(request.last_run)) {
            return {request.last_run};
        }
        std::vector<std::string> names;
        auto const [first, last] = runs_.equal_range(request.id);
        std::transform(
            first, last, std::back_inserter(names),
            [](auto const& each) { return each.second; });
        return names;
    }

    /// @returns when a run's replica broke off or was killed, at the end of
    ///          time when it did not
    instant break_of(std::string const& run) const {
        auto const killed = ends_->replicas.find(process_of(run));
        auto const end = records_->ends.find(run);
        instant const at =
            killed == ends_->replicas.end() ? instant::max() : killed->second;
        return end != records_->ends.end() && end->second.broke
                   ? std::min(at, end->second.at)
                   : at;
    }

    /// @returns true when a run that begins behind the last event went on
    bool has_successor(sent_request const& request) const {
        auto const [first, last] = runs_.equal_range(request.id);
        return std::any_of(first, last, [&](auto const& each) {
            return is_successor(each.second, request) &&
                   break_of(each.second) > request.ended;
        });
    }

    bool
    is_successor(std::string const& run, sent_request const& request) const {
        return request.last_event > 0 && run != request.last_run &&
               records_->runs.at(run).after == request.last_event;
    }

    bool has_broken(sent_request const& request) const {
        return std::ranges::any_of(
            runs_of(request), [&](std::string const& run) {
                instant const at = break_of(run);
                return at <= request.ended &&
                       (at >= request.ended - end_slack ||
                        !has_successor(request));
            });
    }

    /// @returns true when the stream went over to a run that begins behind the
    ///          last event, and that one's replica was killed: a run that
    ///          begins writes the head of its answer at once
    bool has_lost_successor(sent_request const& request) const {
        auto const [first, last] = runs_.equal_range(request.id);
        return std::any_of(first, last, [&](auto const& each) {
            auto const killed = ends_->replicas.find(process_of(each.second));
            return is_successor(each.second, request) &&
                   killed != ends_->replicas.end() &&
                   killed->second <= request.ended &&
                   killed->second >= request.ended - end_slack;
        });
    }

    /// @returns true when the node has stopped, and the stop's limit left no
    ///          more time
    bool ended_with_stop(sent_request const& request) const {
        milliseconds const limit = settings_->stop_limit;
        auto const& signals = ends_->nodes[request.node];
        return std::ranges::any_of(signals, [&](end_signal const& each) {
            return begins_stop(signals, each) &&
                   request.sent <= each.at + last_excused_send &&
                   request.ended >= each.at + limit * 5 / 6 &&
                   request.ended <= each.at + limit + after_grace &&
                   is_at_work(request, each.at);
        });
    }

    /// @returns true when any run of the request, of which the node may have
    ///          ended one to go on with another, excuses its end
    bool is_at_work(sent_request const& request, instant stop_begun) const {
        auto const [first, last] = runs_.equal_range(request.id);
        return std::any_of(first, last, [&](auto const& each) {
            return works_until_stop_ends(
                *records_, each.second, stop_begun, settings_->stop_limit);
        });
    }

    run_records const* records_;
    end_records const* ends_;
    soak_settings const* settings_;
    runs_by_request runs_;
};

violation describe(sent_request const& request, std::string const& run) {
    auto const after = [&](instant at) {
        return std::chrono::duration_cast<milliseconds>(at - request.begun)
            .count();
    };
    return {
        "LOST", fmt::format(
                    "{} at node {}: the stream was closed after {} ms although "
                    "its replica went on, last event of {}",
                    request.id, request.node, after(request.ended),
                    run.empty() ? "no run" : run)};
}

} // namespace

ended_streams find_ended_streams(
    run_records const& records, std::vector<sent_request> const& requests,
    end_records const& ends, soak_settings const& settings) {
    ended_streams streams;
    if (cuts_connections(settings)) {
        return streams;
    }
    end_judge const judge(records, ends, settings);
    for (sent_request const& each : requests) {
        if (!ended_early(each, settings.time_out)) {
            continue;
        }
        ++streams.early;
        if (!judge.is_excused(each)) {
            streams.found.push_back(describe(each, each.last_run));
        }
    }
    return streams;
}

} // namespace camphorpoint::soak
