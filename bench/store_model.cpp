#include "store_model.hpp"

#include <algorithm>

namespace camphorpoint::bench {

namespace {

/// How long an engine waits for a store that does not answer.
constexpr std::chrono::seconds down_time_out{1};

} // namespace

store_model::store_model(
    event_loop& loop, store_parameters const& parameters, std::uint64_t seed)
    : loop_(loop)
    , parameters_(parameters)
    , random_(seed) {}

void store_model::load(answer then) {
    waiting_.push_back(std::move(then));
    start_next();
}

void store_model::set_down(bool down) {
    down_ = down;
    if (down) {
        ++outage_;
    }
}

void store_model::start_next() {
    while (!waiting_.empty() && active_ < parameters_.full_speed_loads) {
        if (loop_.now() < next_start_) {
            if (!wake_planned_) {
                wake_planned_ = true;
                loop_.at(next_start_, [this] {
                    wake_planned_ = false;
                    start_next();
                });
            }
            return;
        }
        answer const then = std::move(waiting_.front());
        waiting_.pop_front();
        run(then);
    }
}

void store_model::run(answer const& then) {
    std::chrono::duration<double> const spacing(
        1.0 / parameters_.loads_per_second);
    next_start_ = loop_.now() + std::chrono::duration_cast<duration>(spacing);
    ++active_;
    ++started_;
    std::chrono::duration<double> const normal = parameters_.load_time();
    duration const time =
        down_ ? duration(down_time_out)
              : std::chrono::duration_cast<duration>(normal * slowness_);
    std::bernoulli_distribution fails(failing_part_);
    bool const loaded = !down_ && !fails(random_);
    loop_.after(time, [this, then, loaded, begun = outage_] {
        --active_;
        // A load that an outage interrupted has failed too.
        then(loaded && begun == outage_);
        start_next();
    });
}

} // namespace camphorpoint::bench
