#include "engine/model_engine.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace standins {

namespace {

constexpr std::chrono::milliseconds cache_event_lag{500};
constexpr double cache_event_gaps = 0.05;

boost::json::object prefix_event(char const* kind, engine_run const& run) {
    return {
        {"kind", kind},
        {"adapter", run.order.adapter.id.str()},
        {"version", run.order.adapter.version},
        {"prefix", fmt::format("{:016x}", run.order.prompt)}};
}

} // namespace

model_engine::model_engine(engine_settings const& settings)
    : settings_(settings)
    , slots_(settings.adapter_slots, settings.checks_fencing)
    , batch_(settings)
    , reports_(settings.report_lag)
    , prefix_events_(cache_event_lag, cache_event_gaps, settings.seed)
    , random_(settings.seed) {}

submit_result model_engine::submit(run_order order, camphorpoint::instant now) {
    if (leaving_) {
        records_.count_refusal();
        return {submit_verdict::leaving, nullptr};
    }
    if (!slots_.resident(order.adapter)) {
        records_.count_refusal();
        return {submit_verdict::not_loaded, nullptr};
    }
    run_batch::run_ptr run = batch_.submit(std::move(order), now);
    if (run == nullptr) {
        records_.count_refusal();
        return {submit_verdict::busy, nullptr};
    }
    records_.add(run);
    prefix_events_.add(prefix_event("stored", *run), now);
    batch_.admit(now);
    return {submit_verdict::taken, run};
}

order_verdict model_engine::begin_load(
    camphorpoint::adapter_ref const& adapter, std::uint64_t fencing) {
    return slots_.begin_load(adapter, fencing);
}

bool model_engine::load_ended(
    camphorpoint::adapter_ref const& adapter, bool fetched,
    std::uint64_t incarnation, camphorpoint::instant now) {
    if (incarnation != incarnation_) {
        return false;
    }
    bool const failed = !fetched || std::bernoulli_distribution(
                                        settings_.failing_loads)(random_);
    slots_.load_ended(adapter, !failed);
    if (failed) {
        records_.count_failed_load();
    } else {
        records_.count_load();
    }
    observe(now);
    return !failed;
}

order_verdict model_engine::evict(
    camphorpoint::adapter_ref const& adapter, std::uint64_t fencing,
    camphorpoint::instant now) {
    auto const users = batch_.using_adapter(adapter);
    bool const may_evict = users.empty() || settings_.evicts_under_use;
    order_verdict const verdict = slots_.evict(adapter, fencing, may_evict);
    if (verdict != order_verdict::accepted) {
        return verdict;
    }
    records_.count_eviction();
    if (!users.empty()) {
        records_.add_violation(
            adapter, static_cast<std::uint32_t>(users.size()), now);
        batch_.cancel_all(adapter, now);
    }
    observe(now);
    return verdict;
}

void model_engine::step(camphorpoint::instant now) {
    if (batch_.running() > 0) {
        records_.count_step(batch_.running());
    }
    batch_.step(now);
    batch_.admit(now);
}

void model_engine::cancel(engine_run& run, camphorpoint::instant now) {
    batch_.cancel(run, now);
    batch_.admit(now);
}

void model_engine::restart(camphorpoint::instant now) {
    for (run_batch::run_ptr const& each : batch_.active()) {
        batch_.cancel(*each, now);
    }
    // Streams of the time before cannot be resumed after a cold start.
    batch_.forget_old(now + settings_.kept_streams + std::chrono::hours(1));
    slots_.clear();
    ++incarnation_;
    observe(now);
}

void model_engine::observe(camphorpoint::instant now) {
    engine_snapshot snapshot;
    snapshot.at = now;
    snapshot.incarnation = incarnation_;
    snapshot.running = batch_.running();
    snapshot.queued = batch_.waiting();
    snapshot.resident = slots_.list(false);
    snapshot.loading = slots_.list(true);
    for (run_batch::run_ptr const& each : batch_.active()) {
        snapshot.in_use.push_back(each->order.adapter);
    }
    std::ranges::sort(snapshot.in_use);
    snapshot.in_use.erase(
        std::unique(snapshot.in_use.begin(), snapshot.in_use.end()),
        snapshot.in_use.end());
    reports_.add(std::move(snapshot));
}

} // namespace standins
