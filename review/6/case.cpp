#include "review/common-2/caller.hpp"
#include "review/common-2/model_replica.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <memory>
#include <string>
#include <thread>
#include <vector>

// A new version of an adapter is named while the replica that holds the old
// one is busy. See claim.txt.

namespace {

using stage::caller_request;
using stage::model_replica;
using stage::record;
using stage::replica_form;

constexpr std::int64_t version_ms = 5000;
constexpr unsigned slots = 32;
/// The adapters of which new versions are named.
char const* const changed[] = {"a7", "a15", "a21", "a29"};

bool is_changed(std::string const& adapter) {
    return std::find(std::begin(changed), std::end(changed), adapter) !=
           std::end(changed);
}

struct ports {
    int store = 0;
    std::vector<int> nodes;
};

caller_request stream_request(
    int port, std::string const& id, std::string const& adapter,
    std::string const& tokens) {
    caller_request request;
    request.port = port;
    request.id = id;
    request.more =
        "X-Model: m0/" + adapter + "\r\nX-Token-Count: " + tokens + "\r\n";
    return request;
}

void send_streams(
    ports const& at, std::vector<std::string> const& adapters, unsigned count,
    record& notes) {
    static unsigned sent = 0;
    for (unsigned each = 0; each < count; ++each, ++sent) {
        auto const request = stream_request(
            at.nodes[sent % at.nodes.size()], "fill" + std::to_string(sent),
            adapters[sent % adapters.size()], "100,950");
        std::thread([request, &notes] {
            stage::send_request(request, notes);
        }).detach();
    }
}

/// Sends streams of ten seconds until the replica runs as many as it can, one
/// for each adapter that gets a new version first.
void fill(model_replica const& replica, ports const& at, record& notes) {
    constexpr int most_rounds = 40;
    constexpr std::int64_t pause = 60;
    for (char const* const each : changed) {
        send_streams(at, {each}, 1, notes);
        stage::sleep_ms(pause);
    }
    for (int round = 0; round < most_rounds && replica.running() < slots;
         ++round) {
        send_streams(at, {"a1", "a2", "a3"}, slots - replica.running(), notes);
        stage::sleep_ms(2 * pause);
    }
}

/// @returns the time of the store's answer, -1 when it refuses
std::int64_t
name_version(int store, std::string const& adapter, record& notes) {
    std::string answer;
    int const status = stage::call(
        store, "POST", "/log-append?topic=keyed.op&part=0",
        stage::keyed_record(
            "version/m0." + adapter,
            R"({"model":"m0","adapter":")" + adapter + R"(","version":2})"),
        answer);
    std::int64_t const at = notes.since_start();
    notes.line(
        "version 2 of " + adapter + " is named, the store answers " +
        std::to_string(status));
    return status == 200 ? at : -1;
}

int judge(
    std::vector<std::unique_ptr<model_replica>> const& replicas,
    std::int64_t named_at, record& notes) {
    unsigned stale = 0;
    unsigned probes = 0;
    for (auto const& replica : replicas) {
        for (stage::run_note const& run : replica->runs()) {
            bool const probe = run.request.starts_with("probe");
            probes += probe ? 1 : 0;
            if (is_changed(run.adapter) && run.version < 2 && named_at >= 0 &&
                run.began > named_at + version_ms) {
                ++stale;
                notes.line(
                    "VERSION: request " + run.request + " began on " +
                    run.adapter + "@1 " + std::to_string(run.began - named_at) +
                    " ms after version 2 was acknowledged");
            }
        }
    }
    notes.line(
        std::to_string(probes) + " probes ran, " + std::to_string(stale) +
        " requests began on the older version too late");
    if (probes == 0) {
        return 2;
    }
    return stale > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** words) {
    std::vector<int> numbers;
    for (int each = 2; each < count; ++each) {
        numbers.push_back(std::atoi(words[each]));
    }
    constexpr std::size_t replica_count = 3;
    if (numbers.size() < replica_count + 2) {
        return 2;
    }
    char const* const trouble = std::getenv("TROUBLE");
    bool const disrupted = trouble == nullptr || std::string(trouble) != "0";
    record notes;
    notes.open(words[1]);
    ports at;
    at.store = numbers[0];
    at.nodes.assign(numbers.begin() + 1 + replica_count, numbers.end());
    std::vector<std::unique_ptr<model_replica>> replicas;
    unsigned newest = 1;
    for (std::size_t each = 0; each < replica_count; ++each) {
        replica_form form;
        form.id = "r" + std::to_string(each + 1);
        form.service = "lm";
        form.model = "m0";
        form.port = numbers[1 + each];
        form.store_port = at.store;
        form.slots = slots;
        form.newest = [&newest](std::string const& name) {
            return is_changed(name) ? newest : 1;
        };
        if (each == 0) {
            form.adapters = {{"a1", 1}, {"a2", 1}, {"a3", 1}};
            for (char const* const name : changed) {
                form.adapters[name] = 1;
            }
        } else {
            form.adapters = {{"b" + std::to_string(each), 1}};
        }
        replicas.push_back(std::make_unique<model_replica>(form, notes));
        replicas.back()->start();
    }
    constexpr std::int64_t until_ready = 5000;
    constexpr std::int64_t until_named = 4200;
    constexpr std::int64_t until_probes = 2400;
    constexpr std::int64_t until_judged = 9000;
    stage::sleep_ms(until_ready);
    std::int64_t const filled_at = notes.since_start();
    fill(*replicas.front(), at, notes);
    notes.line(
        "r1 runs " + std::to_string(replicas.front()->running()) + " streams");
    stage::sleep_ms(filled_at + until_named - notes.since_start());
    std::int64_t named_at = -1;
    if (disrupted) {
        newest = 2;
        for (char const* const each : changed) {
            named_at = name_version(at.store, each, notes);
            if (named_at < 0) {
                return 2;
            }
        }
    }
    stage::sleep_ms(until_probes);
    for (std::size_t each = 0; each < std::size(changed); ++each) {
        auto const request = stream_request(
            at.nodes[each % at.nodes.size()], "probe" + std::to_string(each),
            changed[each], "100,100");
        std::thread([request, &notes] {
            stage::send_request(request, notes);
        }).detach();
    }
    stage::sleep_ms(until_judged);
    int const result = judge(replicas, named_at, notes);
    std::printf(
        "%s\n", result == 1   ? "VERSION is broken"
                : result == 0 ? "VERSION holds"
                              : "could not run");
    std::fflush(stdout);
    std::_Exit(result);
}
