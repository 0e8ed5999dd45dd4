#include "Gateway/software_persistence.hpp"

#include "Gateway/store_monitor.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <set>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// The node that holds the lease of this partition writes for all nodes.
constexpr std::size_t writer_partition = 0;
/// Interval at which the versions are compared with the records, and the delay
/// after a failed call.
constexpr milliseconds check_interval{250};
/// A node that can't read the records for this long starts without them.
constexpr milliseconds read_patience{2'000};
constexpr auto topic = platform::store_topic::software;

} // namespace

software_persistence::software_persistence(
    gateway_state& state, platform::store_client& store)
    : state_(&state)
    , store_(&store)
    , give_up_at_(boot_clock::now() + read_patience) {}

void software_persistence::on_store_rollback() {
    loaded_ = false;
    may_lack_records_ = true;
    saved_.clear();
    written_end_.reset();
}

software_persistence::record software_persistence::make_record(
    service_id const& service, duration memory, instant now) {
    auto const only =
        state_->route_changes
            .limit(
                state_->software.versions(service, memory, now), service, now)
            .only();
    return only ? record{service, only, state_->route_changes.fingerprint()}
                : record{service, {}, {}};
}

std::optional<software_persistence::record>
software_persistence::next_unsaved(instant now) {
    // Without routes this node can't tell where streams began.
    if (!state_->configured) {
        return std::nullopt;
    }
    std::set<service_id> services;
    for (auto const& [id, each] : state_->replicas.all()) {
        services.insert(each.record.service);
    }
    std::optional<record> repeated;
    for (service_id const& each : services) {
        auto const found = saved_.find(each);
        // No record means that no node has served the service before, so that
        // it has no older streams, unless the record may be lost.
        bool const is_new = found == saved_.end() && !may_lack_records_;
        duration const memory =
            is_new ? duration::zero() : state_->settings.stream_lifetime;
        record const current = make_record(each, memory, now);
        if (found == saved_.end() || found->second != current) {
            return current;
        }
        repeated = current;
    }
    return written_end_ == end_ ? std::nullopt : repeated;
}

void software_persistence::poll() {
    instant const now = boot_clock::now();
    if (!*running_ || active_ || now < next_at_) {
        return;
    }
    next_at_ = now + check_interval;
    bool const writes = may_write(now);
    if (!writes) {
        written_end_.reset();
    }
    if (loaded_ && (!writes || !next_unsaved(now))) {
        return;
    }
    active_ = true;
    asio::co_spawn(
        state_->io, [this] { return work(); }, asio::detached);
}

bool software_persistence::may_write(instant now) const {
    return state_->leases.holds(writer_partition) && state_->leases.valid(now);
}

asio::awaitable<void> software_persistence::work() {
    auto const alive = running_;
    // Another node may have written since this one has read.
    bool done = co_await read();
    while (done && *alive && may_write(boot_clock::now())) {
        auto const update = next_unsaved(boot_clock::now());
        if (!update) {
            break;
        }
        done = co_await write(*update);
    }
    active_ = false;
}

asio::awaitable<bool> software_persistence::read() {
    auto const alive = running_;
    instant const began = boot_clock::now();
    store_epoch const epoch = state_->epoch;
    platform::store_reading seen;
    platform::reading_times times;
    times.silence = state_->settings.store_timeout;
    auto const batch = co_await store_->newest(topic, times, seen);
    log_store_read(*state_, topic, "whole", 0, began, seen, batch);
    bool const absent =
        !batch && batch.error() == platform::store_failure::absent;
    if ((!batch && !absent) || epoch != state_->epoch) {
        co_return false;
    }
    // A record that is read again, perhaps this node's own, proves no more than
    // the node has seen since, and one that a rollback has brought back
    // nothing.
    bool const first = !loaded_ && !may_lack_records_;
    loaded_ = true;
    saved_.clear();
    if (first && (absent || (batch.value().records.empty() &&
                             batch.value().unreadable == 0))) {
        state_->route_changes.adopt_first_start();
    }
    end_ = absent ? store_position{epoch, 0} : batch.value().next;
    if (absent) {
        co_return true;
    }
    may_lack_records_ = may_lack_records_ || batch.value().unreadable > 0;
    for (platform::keyed_record const& each : batch.value().records) {
        record const kept = parse(each);
        saved_[kept.service] = kept;
        if (first) {
            adopt(kept);
        }
    }
    co_return true;
}

software_persistence::record
software_persistence::parse(platform::keyed_record const& stored) {
    service_id const service(stored.key);
    auto const read = platform::read_software_record(stored.value.value_or(""));
    if (read && read->service == service) {
        return *read;
    }
    state_->log_event(
        log_line(event_code::configuration_rejected, log_level::error)
            .with("service", stored.key)
            .with("findings", "not a valid record of its software versions"));
    return {service, std::nullopt, std::nullopt};
}

asio::awaitable<bool> software_persistence::write(record update) {
    auto const alive = running_;
    store_epoch const epoch = state_->epoch;
    std::string key = update.service.str();
    std::string text = platform::write_software_record(update);
    auto const written =
        co_await store_->put(topic, std::move(key), std::move(text), end_);
    if (!written || epoch != state_->epoch) {
        written_end_.reset();
        co_return false;
    }
    end_ = written.value();
    written_end_ = end_;
    state_->log_event(
        log_line(event_code::software_recorded)
            .with("service", update.service.str())
            .with("single", update.only_version.has_value() ? 1 : 0));
    adopt(update);
    saved_[update.service] = std::move(update);
    co_return true;
}

void software_persistence::adopt(record const& known) {
    if (known.only_version && known.routes) {
        state_->software.adopt(known.service, *known.only_version);
        state_->route_changes.adopt(known.service, *known.routes);
    }
}

} // namespace camphorpoint
