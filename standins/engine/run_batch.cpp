#include "engine/run_batch.hpp"

#include <algorithm>
#include <utility>

namespace standins {

run_batch::run_ptr
run_batch::submit(run_order order, camphorpoint::instant now) {
    if (waiting_.size() >= settings_.waiting_limit) {
        return nullptr;
    }
    auto run = std::make_shared<engine_run>();
    run->order = std::move(order);
    run->taken = now;
    run->last_reader_left = now;
    // Ahead of the less urgent, behind those of its own class.
    auto const place = std::ranges::upper_bound(
        waiting_, run->order.priority, {},
        [](run_ptr const& each) { return each->order.priority; });
    waiting_.insert(place, run);
    streams_[run->order.request] = run;
    return run;
}

void run_batch::admit(camphorpoint::instant now) {
    while (!waiting_.empty() && running_.size() < settings_.batch_limit) {
        run_ptr const next = waiting_.front();
        waiting_.erase(waiting_.begin());
        next->state = run_state::running;
        next->started = now;
        running_.push_back(next);
    }
}

void run_batch::step(camphorpoint::instant now) {
    for (run_ptr const& each : running_) {
        ++each->produced;
        if (each->produced >= each->order.tokens) {
            each->state = run_state::finished;
            each->ended = now;
        }
    }
    std::erase_if(running_, [](run_ptr const& each) {
        return each->state == run_state::finished;
    });
    give_up_unread(now);
}

void run_batch::give_up_unread(camphorpoint::instant now) {
    for (run_ptr const& each : active()) {
        if (each->readers == 0 &&
            now - each->last_reader_left > settings_.unread_grace) {
            cancel(*each, now);
        }
    }
}

void run_batch::cancel(engine_run& run, camphorpoint::instant now) {
    if (!run.active()) {
        return;
    }
    run.state = run_state::cancelled;
    run.ended = now;
    auto const same = [&](run_ptr const& each) {
        return each.get() == &run;
    };
    std::erase_if(waiting_, same);
    std::erase_if(running_, same);
}

void run_batch::cancel_all(
    camphorpoint::adapter_ref const& adapter, camphorpoint::instant now) {
    for (run_ptr const& each : using_adapter(adapter)) {
        cancel(*each, now);
    }
}

run_batch::run_ptr run_batch::find(std::string const& request) const {
    auto const found = streams_.find(request);
    return found == streams_.end() ? nullptr : found->second;
}

void run_batch::forget_old(camphorpoint::instant now) {
    std::erase_if(streams_, [&](auto const& entry) {
        engine_run const& run = *entry.second;
        return !run.active() && now - run.ended > settings_.kept_streams;
    });
}

std::vector<run_batch::run_ptr> run_batch::active() const {
    std::vector<run_ptr> result = running_;
    result.insert(result.end(), waiting_.begin(), waiting_.end());
    return result;
}

std::vector<run_batch::run_ptr>
run_batch::using_adapter(camphorpoint::adapter_ref const& adapter) const {
    std::vector<run_ptr> result = active();
    std::erase_if(result, [&](run_ptr const& each) {
        return each->order.adapter != adapter;
    });
    return result;
}

std::chrono::microseconds run_batch::step_time() const noexcept {
    return settings_.step_base + settings_.step_per_sequence *
                                     static_cast<std::int64_t>(running_.size());
}

} // namespace standins
