#include "product_policy.hpp"

#include "Serving/node_event.hpp"
#include "choosers.hpp"

#include <fmt/format.h>

#include <charconv>

namespace camphorpoint::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds authority_length{5};
constexpr seconds renewal_period{1};
constexpr milliseconds report_period{250};
constexpr milliseconds report_lag{200};
constexpr seconds heartbeat_period{1};
constexpr milliseconds suspected_after{1'500};
/// The wait of a claim: the authority's length and a margin.
constexpr seconds takeover_after{7};
constexpr seconds log_outage_length{30};

scheduler_settings
settings_for(preset const& workload, endpoint_id const& id, std::uint32_t n) {
    scheduler_settings result;
    result.replica = id;
    result.adapter_slots = workload.engine.adapter_slots;
    result.batch_limit = workload.engine.batch_limit;
    result.load_time =
        std::chrono::duration_cast<milliseconds>(workload.store.load_time());
    constexpr std::uint64_t orders_apart = 1'000'000'000;
    result.first_command = 1 + n * orders_apart;
    result.seed = n + 1;
    return result;
}

store_limits limits_for(preset const& workload) {
    store_limits result;
    result.loads_per_second = workload.store.loads_per_second;
    result.concurrency = workload.store.full_speed_loads;
    return result;
}

std::uint32_t number_after_letter(std::string const& text) {
    std::uint32_t result = 0;
    std::from_chars(text.data() + 1, text.data() + text.size(), result);
    return result;
}

} // namespace

product_policy::product_policy(world& cluster)
    : world_(cluster)
    , model_("base")
    , requests_(cluster.input().requests.size())
    , owner_reachable_(cluster.engine_count(), true)
    , budget_(limits_for(cluster.workload()))
    , loading_(cluster.engine_count()) {
    make_nodes();
    connect();
    every(tick_period, [this] { tick(); });
    every(renewal_period, [this] { renew_authority(); });
    every(report_period, [this] { send_reports(); });
    every(heartbeat_period, [this] { send_heartbeats(); });
    if (world_.what_fails() == fault::owner_paused) {
        plan_pause();
    }
}

void product_policy::connect() {
    policy_hooks hooks;
    hooks.arrived = [this](std::size_t index) {
        arrived(index);
    };
    hooks.finished = [this](std::size_t index, std::uint32_t) {
        finished(index);
    };
    hooks.expired = [this](std::size_t index) {
        expired(index);
    };
    hooks.load_ended = [this](std::uint32_t engine, adapter_key key, bool ok) {
        load_ended(engine, key, ok);
    };
    hooks.engine_stopped = [this](std::uint32_t engine) {
        leave_engine(engine);
        update_endpoints();
    };
    hooks.engine_up = [this](std::uint32_t) {
        update_endpoints();
    };
    hooks.version_changed = [this](std::uint32_t adapter) {
        version_changed(adapter);
    };
    hooks.choose_service = [this] {
        return service();
    };
    world_.connect(std::move(hooks));
}

void product_policy::make_nodes() {
    preset const& workload = world_.workload();
    for (std::string const& each : workload.domains) {
        domain_ids_.emplace_back(each);
    }
    for (std::uint32_t index = 0; index < workload.adapters; ++index) {
        adapter_ids_.emplace_back(fmt::format("a{}", index));
    }
    for (std::uint32_t index = 0; index < workload.nodes; ++index) {
        node_ids_.emplace_back(fmt::format("n{}", index));
        placement_settings settings;
        settings.domain = domain_ids_[world_.domain_of(index)];
        settings.nodes = workload.nodes;
        settings.target_batch_utilization = workload.target_batch_utilization;
        settings.load_time = std::chrono::duration_cast<milliseconds>(
            workload.store.load_time());
        nodes_.push_back({std::make_unique<placement<>>(settings), {}});
    }
    owners_.resize(workload.engines);
    for (std::uint32_t index = 0; index < workload.engines; ++index) {
        engine_ids_.emplace_back(fmt::format("e{}", index));
        make_owner(index, index % workload.nodes);
    }
    update_endpoints();
    renew_authority();
}

void product_policy::make_owner(std::uint32_t engine, std::uint32_t node) {
    bench_owner& owner = owners_[engine];
    owner.node = node;
    ++owner.epoch;
    owner.scheduler = std::make_unique<replica_scheduler<>>(
        settings_for(world_.workload(), engine_ids_[engine], engine));
}

void product_policy::every(duration period, work const& what) {
    world_.loop().after(period, [this, period, what] {
        what();
        every(period, what);
    });
}

void product_policy::tick() {
    for (std::uint32_t engine = 0; engine < owners_.size(); ++engine) {
        if (world_.now() < world_.paused_until(owners_[engine].node)) {
            continue;
        }
        owners_[engine].scheduler->on_tick(world_.now());
        pump(engine);
    }
    budget_.on_tick(world_.now());
    pump_budget();
}

bool product_policy::log_is_down() const {
    instant const start = world_.measured_from() + fault_start;
    return world_.what_fails() == fault::log_outage && world_.now() >= start &&
           world_.now() < start + log_outage_length;
}

void product_policy::renew_authority() {
    if (log_is_down()) {
        return;
    }
    instant const until = world_.now() + authority_length;
    for (std::uint32_t engine = 0; engine < owners_.size(); ++engine) {
        bench_owner& owner = owners_[engine];
        if (world_.now() >= world_.paused_until(owner.node)) {
            owner.scheduler->on_authority({owner.epoch}, until, world_.now());
            pump(engine);
        }
    }
    budget_.on_authority({1}, until, world_.now());
    pump_budget();
}

void product_policy::send_reports() {
    for (std::uint32_t engine = 0; engine < owners_.size(); ++engine) {
        if (!world_.engine(engine).up()) {
            continue;
        }
        engine_report report = report_of(engine);
        report.age = report_lag;
        std::uint64_t const epoch = owners_[engine].epoch;
        on_node(
            owners_[engine].node, report_lag, [this, engine, epoch, report] {
                if (owners_[engine].epoch == epoch) {
                    owners_[engine].scheduler->on_report(report, world_.now());
                    pump(engine);
                }
            });
    }
}

void product_policy::send_heartbeats() {
    for (std::uint32_t node = 0; node < nodes_.size(); ++node) {
        if (world_.now() < world_.paused_until(node)) {
            continue;
        }
        std::vector<grant_in_use> grants;
        for (std::size_t const index : nodes_[node].active) {
            entry_request const& entry = requests_[index];
            grants.push_back(
                {request_id(fmt::format("r{}", index)), entry.attempt,
                 engine_ids_[entry.engine], ref(world_.record(index).adapter),
                 entry.where == entry_request::phase::granted});
        }
        for (std::uint32_t engine = 0; engine < owners_.size(); ++engine) {
            on_owner(node, engine, [this, node, grants](auto& scheduler) {
                scheduler.on_heartbeat(node_ids_[node], grants, world_.now());
            });
        }
    }
}

void product_policy::plan_pause() {
    instant const start = world_.measured_from() + fault_start;
    world_.loop().at(start + suspected_after, [this] {
        for (std::uint32_t engine = 0; engine < owners_.size(); ++engine) {
            if (owners_[engine].node == paused_node) {
                owner_reachable_[engine] = false;
                leave_engine(engine);
            }
        }
        update_endpoints();
    });
    world_.loop().at(
        start + takeover_after, [this] { take_over(paused_node); });
}

void product_policy::take_over(std::uint32_t node) {
    auto const count = static_cast<std::uint32_t>(nodes_.size());
    for (std::uint32_t engine = 0; engine < owners_.size(); ++engine) {
        if (owners_[engine].node == node) {
            make_owner(engine, (node + 1 + engine) % count);
            owner_reachable_[engine] = true;
        }
    }
    renew_authority();
    update_endpoints();
}

void product_policy::update_endpoints() {
    std::vector<placement_endpoint> list;
    for (std::uint32_t engine = 0; engine < owners_.size(); ++engine) {
        placement_endpoint each;
        each.id = engine_ids_[engine];
        each.model = model_;
        each.domain = domain_ids_[world_.domain_of(engine)];
        each.batch_limit = world_.workload().engine.batch_limit;
        each.adapter_slots = world_.workload().engine.adapter_slots;
        each.usable = world_.engine(engine).up() && owner_reachable_[engine];
        list.push_back(each);
    }
    for (entry_node& each : nodes_) {
        each.choice->set_endpoints(list);
    }
}

void product_policy::on_node(std::uint32_t node, duration delay, work what) {
    world_.loop().after(delay, [this, node, what = std::move(what)] {
        if (world_.now() < world_.paused_until(node)) {
            world_.loop().at(world_.paused_until(node), what);
        } else {
            what();
        }
    });
}

void product_policy::on_owner(
    std::uint32_t from, std::uint32_t engine,
    std::function<void(replica_scheduler<>&)> what) {
    bench_owner const& owner = owners_[engine];
    on_node(
        owner.node, hop(from, owner.node),
        [this, engine, epoch = owner.epoch, what = std::move(what)] {
            if (owners_[engine].epoch == epoch) {
                what(*owners_[engine].scheduler);
                pump(engine);
            }
        });
}

duration product_policy::hop(std::uint32_t from, std::uint32_t to) const {
    return world_.domain_of(from) == world_.domain_of(to)
               ? duration::zero()
               : world_.workload().domain_latency;
}

duration
product_policy::engine_hop(std::uint32_t node, std::uint32_t engine) const {
    return world_.latency(node, engine);
}

std::uint32_t product_policy::service() const {
    return least_loaded_service(world_);
}

std::size_t product_policy::index_of(request_id const& id) const {
    return number_after_letter(id.str());
}

std::uint32_t product_policy::engine_of(endpoint_id const& id) const {
    return number_after_letter(id.str());
}

std::uint32_t product_policy::node_of(node_id const& id) const {
    return number_after_letter(id.str());
}

adapter_ref product_policy::ref(adapter_key key) const {
    return {adapter_ids_[key.adapter], key.version};
}

adapter_key product_policy::key_of(adapter_ref const& adapter) const {
    return {number_after_letter(adapter.id.str()), adapter.version};
}

} // namespace camphorpoint::bench
