#include "engine_model.hpp"

#include <algorithm>
#include <cassert>

namespace camphorpoint::bench {

engine_model::engine_model(
    event_loop& loop, engine_parameters const& parameters, engine_hooks hooks)
    : loop_(loop)
    , parameters_(parameters)
    , hooks_(std::move(hooks)) {}

void engine_model::enqueue(engine_work work) {
    assert(up_ && "a stopped engine takes no request");
    auto const slot = slots_.find(work.adapter);
    if (slot != slots_.end()) {
        ++slot->second.waiting;
    }
    auto const behind = [&work](engine_work const& other) {
        return other.priority > work.priority;
    };
    waiting_.insert(std::ranges::find_if(waiting_, behind), work);
    wake();
}

bool engine_model::withdraw(std::size_t request) {
    auto const is_it = [request](engine_work const& work) {
        return work.request == request;
    };
    auto const found = std::ranges::find_if(waiting_, is_it);
    if (found == waiting_.end()) {
        return false;
    }
    auto const slot = slots_.find(found->adapter);
    if (slot != slots_.end()) {
        --slot->second.waiting;
    }
    waiting_.erase(found);
    return true;
}

bool engine_model::resident(adapter_key key) const {
    slot_state const* const found = slot(key);
    return found != nullptr && found->resident;
}

slot_state const* engine_model::slot(adapter_key key) const {
    auto const found = slots_.find(key);
    return found == slots_.end() ? nullptr : &found->second;
}

bool engine_model::waits_for(adapter_key key) const {
    return std::ranges::find(waiting_, key, &engine_work::adapter) !=
           waiting_.end();
}

bool engine_model::has_free_slot() const {
    return slots_.size() < parameters_.adapter_slots;
}

void engine_model::begin_load(adapter_key key) {
    assert(has_free_slot() && "a load needs a free slot");
    assert(!slots_.contains(key) && "the adapter holds a slot already");
    slot_state& made = slots_[key];
    made.last_used = loop_.now();
    made.waiting = static_cast<std::uint32_t>(
        std::ranges::count(waiting_, key, &engine_work::adapter));
}

void engine_model::end_load(adapter_key key, bool loaded) {
    auto const found = slots_.find(key);
    assert(found != slots_.end() && "a load that was never begun");
    if (!loaded) {
        slots_.erase(found);
        return;
    }
    found->second.resident = true;
    found->second.since = loop_.now();
    found->second.last_used = loop_.now();
    wake();
}

void engine_model::evict(adapter_key key) {
    auto const found = slots_.find(key);
    assert(found != slots_.end() && "nothing to evict");
    assert(found->second.running == 0 && "the adapter serves a request");
    slots_.erase(found);
}

std::vector<std::size_t> engine_model::stop() {
    std::vector<std::size_t> cut;
    for (sequence const& each : running_) {
        cut.push_back(each.work.request);
    }
    for (engine_work const& each : waiting_) {
        cut.push_back(each.request);
    }
    running_.clear();
    waiting_.clear();
    slots_.clear();
    prefixes_.clear();
    up_ = false;
    stepping_ = false;
    ++incarnation_;
    return cut;
}

void engine_model::wake() {
    if (!stepping_ && !waiting_.empty()) {
        start_step();
    }
}

void engine_model::start_step() {
    std::uint64_t const prompt = admit();
    if (running_.empty()) {
        stepping_ = false;
        return;
    }
    stepping_ = true;
    auto const count = static_cast<std::uint32_t>(running_.size());
    duration const length =
        parameters_.step_base + count * parameters_.step_per_sequence +
        static_cast<std::int64_t>(prompt) * parameters_.prefill_per_token;
    hooks_.stepped(count, length);
    loop_.after(length, [this, current = incarnation_] {
        if (current == incarnation_) {
            end_step();
        }
    });
}

void engine_model::end_step() {
    std::vector<std::size_t> started;
    std::vector<std::size_t> finished;
    for (sequence& each : running_) {
        if (!each.has_token) {
            each.has_token = true;
            started.push_back(each.work.request);
        }
        --each.work.tokens;
        if (each.work.tokens == 0) {
            finished.push_back(each.work.request);
            slot_state& used = slots_.at(each.work.adapter);
            --used.running;
            used.last_used = loop_.now();
        }
    }
    std::erase_if(
        running_, [](sequence const& each) { return each.work.tokens == 0; });
    for (std::size_t const request : started) {
        hooks_.first_token(request);
    }
    for (std::size_t const request : finished) {
        hooks_.finished(request);
    }
    start_step();
}

std::uint64_t engine_model::admit() {
    std::uint64_t prompt = 0;
    auto next = waiting_.begin();
    while (next != waiting_.end() &&
           running_.size() < parameters_.batch_limit) {
        if (!resident(next->adapter)) {
            ++next;
            continue;
        }
        slot_state& used = slots_.at(next->adapter);
        --used.waiting;
        ++used.running;
        used.last_used = loop_.now();
        prompt += prefill_tokens(*next);
        running_.push_back({*next, false});
        hooks_.admitted(next->request);
        next = waiting_.erase(next);
    }
    return prompt;
}

std::uint32_t engine_model::prefill_tokens(engine_work const& work) {
    // A cached prefix covers the system prompt, four fifths of the whole.
    constexpr std::uint32_t uncached_part = 5;
    bool const cached = touch_prefix(work.prefix);
    return cached ? work.prompt_tokens / uncached_part : work.prompt_tokens;
}

bool engine_model::touch_prefix(std::uint64_t prefix) {
    auto const found = std::ranges::find(prefixes_, prefix);
    bool const cached = found != prefixes_.end();
    if (cached) {
        prefixes_.erase(found);
    }
    prefixes_.push_front(prefix);
    if (prefixes_.size() > parameters_.prefix_slots) {
        prefixes_.pop_back();
    }
    return cached;
}

} // namespace camphorpoint::bench
