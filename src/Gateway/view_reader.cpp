#include "Gateway/view_reader.hpp"

#include "platform/configuration_reader.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using platform::store_topic;

namespace {

platform::reading_times times_of_reads() {
    platform::reading_times times;
    times.silence = view_read_patience;
    return times;
}

} // namespace

view_reader::view_reader(
    gateway_state& state, platform::store_client& store,
    std::function<std::optional<store_position>()> registry_position)
    : state_(&state)
    , store_(&store)
    , registry_position_(std::move(registry_position)) {}

void view_reader::stop() {
    *running_ = false;
    wake();
}

void view_reader::wake() {
    for (asio::steady_timer* const each : waiting_) {
        each->cancel();
    }
}

void view_reader::request(instant arrived) {
    schedule_.request(arrived);
    if (!active_ && *running_) {
        active_ = true;
        asio::co_spawn(
            state_->io, [this] { return run(); }, asio::detached);
    }
}

asio::awaitable<void> view_reader::run() {
    auto const alive = running_;
    asio::steady_timer timer(state_->io);
    while (auto const due = schedule_.next_read(boot_clock::now())) {
        timer.expires_after(time_until(*due));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!*alive) {
            co_return;
        }
        instant const now = boot_clock::now();
        if (!schedule_.next_read(now)) {
            break;
        }
        schedule_.begin(now, state_->nodes());
        bool const current = co_await read();
        if (!*alive) {
            co_return;
        }
        schedule_.end(current);
        wake();
    }
    active_ = false;
}

asio::awaitable<bool> view_reader::wait(instant arrived) {
    auto const alive = running_;
    asio::steady_timer timer(state_->io);
    instant const end = arrived + view_read_patience;
    while (*alive && !schedule_.outcome(arrived) && boot_clock::now() < end) {
        waiting_.insert(&timer);
        timer.expires_after(time_until(end));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        waiting_.erase(&timer);
    }
    co_return *alive&& schedule_.outcome(arrived).value_or(false);
}

asio::awaitable<bool> view_reader::read() {
    auto const alive = running_;
    bool const declarations = co_await knows_declarations();
    co_return declarations&&* alive&& co_await knows_versions();
}

asio::awaitable<bool> view_reader::knows_declarations() {
    store_position const from = state_->declared_position;
    platform::store_reading reading;
    platform::reading_times const times = times_of_reads();
    auto const batch = co_await store_->read_on(
        store_topic::declarations, from, times, reading);
    co_return batch&& batch.value().records.empty() &&
        batch.value().reaches_end&& batch.value().next.epoch == from.epoch;
}

asio::awaitable<bool> view_reader::knows_versions() {
    auto const alive = running_;
    auto const from = registry_position_();
    if (!from) {
        co_return false;
    }
    platform::store_reading reading;
    platform::reading_times const times = times_of_reads();
    auto const batch =
        co_await store_->read_on(store_topic::replicas, *from, times, reading);
    if (!*alive || !batch || !batch.value().reaches_end ||
        batch.value().next.epoch != from->epoch) {
        co_return false;
    }
    co_return std::ranges::all_of(
        batch.value().records, [this](platform::keyed_record const& each) {
            auto const parsed =
                each.value ? platform::read_replica(each.key, *each.value)
                           : std::nullopt;
            return !parsed ||
                   state_->software.has_seen(parsed->service, parsed->software);
        });
}

} // namespace camphorpoint
