#include "Gateway/reachability_prober.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Replicas that are probed at once. When half of all replicas has stopped or
/// is cut off, one probe in 256 takes the node for partitioned.
constexpr std::size_t probed_replicas = 8;
constexpr milliseconds probe_timeout{300};

/// Result of the connections of one probe.
struct probe_progress {
    std::size_t pending = 0;
    bool any_connected = false;
};

} // namespace

reachability_prober::reachability_prober(
    gateway_state& state, std::function<void()> on_change)
    : state_(&state)
    , on_change_(std::move(on_change)) {}

void reachability_prober::poll() {
    if (!state_->reachability.probe_due(boot_clock::now())) {
        return;
    }
    asio::co_spawn(
        state_->io,
        [this, targets = choose_targets()] { return probe(targets); },
        asio::detached);
}

void reachability_prober::stop() {
    *running_ = false;
}

std::vector<ip_address> reachability_prober::choose_targets() {
    std::vector<ip_address> all;
    for (auto const& [id, each] : state_->replicas.all()) {
        if (each.accepts_requests()) {
            all.push_back(each.record.address);
        }
    }
    std::vector<ip_address> chosen;
    std::ranges::sample(
        all, std::back_inserter(chosen), probed_replicas, state_->random);
    return chosen;
}

asio::awaitable<void>
reachability_prober::probe(std::vector<ip_address> targets) {
    auto const alive = running_;
    auto const progress = std::make_shared<probe_progress>();
    progress->pending = targets.size();
    if (targets.empty()) {
        finish(false);
    }
    auto const done = [this, alive, progress](bool connected) {
        progress->any_connected = progress->any_connected || connected;
        --progress->pending;
        if (*alive && progress->pending == 0) {
            finish(progress->any_connected);
        }
    };
    for (ip_address const& each : targets) {
        asio::co_spawn(
            state_->io,
            [executor = state_->io.get_executor(), to = each,
             done]() -> asio::awaitable<void> {
                http_call call(executor);
                bool const connected = co_await call.connect(to, probe_timeout);
                done(connected);
            },
            asio::detached);
    }
    co_return;
}

void reachability_prober::finish(bool any_connected) {
    instant const now = boot_clock::now();
    if (!state_->reachability.on_probe_result(any_connected, now)) {
        return;
    }
    if (any_connected) {
        // These suspicions were due to this node's own links.
        state_->replicas.clear_suspicions();
    }
    state_->log_event(log_line(
                          any_connected ? event_code::replicas_reachable
                                        : event_code::replicas_unreachable,
                          any_connected ? log_level::info : log_level::warning)
                          .with("replicas", state_->replicas.all().size()));
    on_change_();
}

void record_reachability(
    replica_reachability& links, endpoint_id const& at, call_result how,
    http_call const& call) {
    if (call.cancelled()) {
        return;
    }
    instant const now = boot_clock::now();
    if (how == call_result::not_sent) {
        links.on_connect_failed(at, now);
        return;
    }
    if (!call.reused()) {
        links.on_connected(at);
    }
    if (how == call_result::answered || call.invalid()) {
        links.on_answered();
    } else {
        links.on_answer_missing(at, now);
    }
}

} // namespace camphorpoint
