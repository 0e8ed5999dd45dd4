#include "world.hpp"

#include <algorithm>
#include <cassert>

namespace camphorpoint::bench {

namespace {

using std::chrono::seconds;

/// Longer than the longest deadline.
constexpr seconds drain{90};
constexpr double slow_store = 4;
constexpr double failing_loads = 0.2;
constexpr seconds store_fault_length{60};
/// Engines that restart together, as after a rack's loss of power.
constexpr std::uint32_t restarted_engines = 2;
/// After the warm-up's end one service replica loses half of its workers.
constexpr seconds service_change{100};
constexpr seconds service_change_length{60};

} // namespace

world::world(
    preset const& workload, trace const& input, std::uint64_t seed, fault what)
    : workload_(workload)
    , input_(input)
    , fault_(what)
    , store_(loop_, workload.store, seed)
    , versions_(workload.adapters, 1)
    , records_(input.requests.size()) {
    for (std::uint32_t index = 0; index < workload.engines; ++index) {
        engines_.push_back(std::make_unique<engine_model>(
            loop_, workload.engine, hooks_for(index)));
    }
    for (std::uint32_t count = 0; count < workload.service.replicas; ++count) {
        services_.push_back(
            std::make_unique<service_model>(loop_, workload.service.workers));
    }
    auto const length = workload.warm_up + workload.measured;
    steps_.resize(static_cast<std::size_t>(length.count()));
}

engine_hooks world::hooks_for(std::uint32_t engine) {
    (void)engine;
    engine_hooks hooks;
    hooks.admitted = [this](std::size_t index) {
        admitted(index);
    };
    hooks.first_token = [this](std::size_t index) {
        records_[index].first_token = now();
    };
    hooks.finished = [this](std::size_t index) {
        finished(index);
    };
    hooks.stepped = [this](std::uint32_t sequences, duration) {
        auto const second =
            std::chrono::floor<seconds>(now().time_since_epoch());
        auto const at = static_cast<std::size_t>(second.count());
        if (at >= steps_.size()) {
            return;
        }
        step_sample& sample = steps_[at];
        ++sample.steps;
        sample.sequences += sequences;
    };
    return hooks;
}

void world::run() {
    plan_faults();
    plan_service_change();
    feed_changes();
    feed_requests(0);
    feed_calls(0);
    // Requests that came late in the run are given the time to end.
    loop_.run_until(end() + drain);
}

void world::plan_faults() {
    instant const start = measured_from() + fault_start;
    instant const stop = start + store_fault_length;
    if (fault_ == fault::cold_start) {
        for (std::uint32_t count = 0; count < restarted_engines; ++count) {
            // Engines of one failure domain.
            auto const engine =
                static_cast<std::uint32_t>(count * workload_.domains.size());
            loop_.at(start, [this, engine] { restart(engine); });
        }
    }
    if (fault_ == fault::failed_loads) {
        loop_.at(start, [this] { store_.fail_part(failing_loads); });
        loop_.at(stop, [this] { store_.fail_part(0); });
    }
    if (fault_ == fault::store_slow) {
        loop_.at(start, [this] { store_.slow_down(slow_store); });
        loop_.at(stop, [this] { store_.slow_down(1); });
    }
    if (fault_ == fault::store_down) {
        loop_.at(start, [this] { store_.set_down(true); });
        loop_.at(stop, [this] { store_.set_down(false); });
    }
}

void world::plan_service_change() {
    std::uint32_t const workers = workload_.service.workers;
    instant const start = measured_from() + service_change;
    loop_.at(start, [this, workers] {
        services_[0]->set_workers((workers + 1) / 2);
    });
    loop_.at(start + service_change_length, [this, workers] {
        services_[0]->set_workers(workers);
    });
}

void world::restart(std::uint32_t engine) {
    std::vector<std::size_t> const cut = engines_[engine]->stop();
    for (std::size_t const index : cut) {
        if (records_[index].state == request_state::waiting) {
            close_stall(index);
        }
        records_[index].engine.reset();
        records_[index].state = request_state::waiting;
        records_[index].first_token = {};
    }
    hooks_.engine_stopped(engine);
    for (std::size_t const index : cut) {
        if (deadline(index) <= now()) {
            refuse(index, reason::deadline_passed);
        } else {
            hooks_.arrived(index);
        }
    }
    loop_.after(workload_.engine.cold_start, [this, engine] {
        engines_[engine]->come_up();
        hooks_.engine_up(engine);
    });
}

void world::feed_requests(std::size_t index) {
    if (index < input_.requests.size()) {
        loop_.at(input_.requests[index].arrival, [this, index] {
            arrive(index);
            feed_requests(index + 1);
        });
    }
}

void world::arrive(std::size_t index) {
    std::uint32_t const adapter = request(index).adapter;
    records_[index].adapter = {adapter, versions_[adapter]};
    loop_.at(deadline(index), [this, index] { expire(index); });
    instant const reached = now() + workload_.client_latency;
    instant const taken = std::max(reached, paused_until(request(index).node));
    loop_.at(taken, [this, index] { hooks_.arrived(index); });
}

instant world::paused_until(std::uint32_t node) const {
    instant const start = measured_from() + fault_start;
    bool const paused =
        fault_ == fault::owner_paused && node == paused_node && now() >= start;
    return paused ? start + pause_length : instant{};
}

void world::feed_calls(std::size_t index) {
    if (index >= input_.calls.size()) {
        return;
    }
    loop_.at(input_.calls[index].arrival, [this, index] {
        service_model& chosen = *services_[hooks_.choose_service()];
        bool const measured = now() >= measured_from();
        chosen.call(
            input_.calls[index].service_time, [this, measured](duration wait) {
                if (measured) {
                    call_waits_.push_back(wait);
                }
            });
        feed_calls(index + 1);
    });
}

void world::feed_changes() {
    for (version_change const& each : input_.changes) {
        loop_.at(each.when, [this, adapter = each.adapter] {
            ++versions_[adapter];
            hooks_.version_changed(adapter);
        });
    }
}

duration world::latency(std::uint32_t node, std::uint32_t engine) const {
    bool const same = domain_of(node) == domain_of(engine);
    return same ? duration::zero() : workload_.domain_latency;
}

void world::assign(std::size_t index, std::uint32_t engine) {
    request_record& entry = records_[index];
    assert(entry.state == request_state::waiting && "it waits no more");
    close_stall(index);
    entry.engine = engine;
    entry.assigned = now();
}

void world::close_stall(std::size_t index) {
    request_record& entry = records_[index];
    if (!entry.engine) {
        return;
    }
    slot_state const* const slot = engines_[*entry.engine]->slot(entry.adapter);
    bool const usable = slot != nullptr && slot->resident;
    instant const until = usable ? slot->since : now();
    entry.load_stall += std::max(duration::zero(), until - entry.assigned);
    entry.assigned = now();
}

void world::enqueue(std::size_t index, std::uint32_t priority) {
    request_record const& entry = records_[index];
    assert(entry.engine && "a request is assigned before it is sent");
    trace_request const& from = request(index);
    engines_[*entry.engine]->enqueue(
        {index, entry.adapter, from.tokens, from.prompt_tokens, from.prefix,
         priority});
}

void world::refuse(std::size_t index, reason why) {
    request_record& entry = records_[index];
    assert(entry.state == request_state::waiting && "it waits no more");
    close_stall(index);
    entry.state = request_state::refused;
    entry.why = why;
    entry.finished = now();
}

void world::expire(std::size_t index) {
    request_record const& entry = records_[index];
    if (entry.state != request_state::waiting) {
        return;
    }
    if (entry.engine && engines_[*entry.engine]->up()) {
        engines_[*entry.engine]->withdraw(index);
    }
    refuse(index, reason::deadline_passed);
    hooks_.expired(index);
}

void world::load(std::uint32_t engine, adapter_key key) {
    engine_model& target = *engines_[engine];
    target.begin_load(key);
    if (now() >= measured_from()) {
        ++loads_ordered_;
    }
    store_.load([this, engine, key, begun = target.incarnation()](bool loaded) {
        if (engines_[engine]->incarnation() == begun) {
            engines_[engine]->end_load(key, loaded);
            hooks_.load_ended(engine, key, loaded);
        }
    });
}

void world::evict(std::uint32_t engine, adapter_key key) {
    engines_[engine]->evict(key);
}

void world::admitted(std::size_t index) {
    close_stall(index);
    records_[index].state = request_state::running;
    records_[index].admitted = now();
}

void world::finished(std::size_t index) {
    request_record& entry = records_[index];
    entry.state = request_state::done;
    entry.finished = now();
    hooks_.finished(index, *entry.engine);
}

} // namespace camphorpoint::bench
