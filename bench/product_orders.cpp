#include "product_policy.hpp"

#include <algorithm>

namespace camphorpoint::bench {

namespace {

template <class... Each>
struct overloaded : Each... {
    using Each::operator()...;
};
// clang 14 does not deduce an aggregate's arguments by itself.
template <class... Each>
overloaded(Each...) -> overloaded<Each...>;

} // namespace

void product_policy::pump(std::uint32_t engine) {
    for (scheduler_action const& each :
         owners_[engine].scheduler->take_actions()) {
        act(engine, each);
    }
}

void product_policy::act(std::uint32_t engine, scheduler_action const& action) {
    std::uint32_t const here = owners_[engine].node;
    auto const reply = [this, here](node_id const& to, auto what) {
        std::uint32_t const node = node_of(to);
        on_node(node, hop(here, node), what);
    };
    std::visit(
        overloaded{
            [&](reply_grant const& each) {
                reply(each.to, [this, message = each.message] {
                    granted(index_of(message.request), message);
                });
            },
            [&](reply_refusal const& each) {
                reply(each.to, [this, message = each.message] {
                    refused(index_of(message.request), message);
                });
            },
            [&](engine_order const& each) { carry_out(engine, each); },
            [&](send_load_request const& each) {
                to_budget(engine, [this, message = each.message](auto& from) {
                    budget_.on_load_request(from, message, world_.now());
                });
            },
            [&](send_load_cancelled const& each) {
                to_budget(engine, [this, message = each.message](auto& from) {
                    budget_.on_load_cancelled(from, message, world_.now());
                });
            },
            [&](send_load_result const& each) {
                to_budget(engine, [this, message = each.message](auto& from) {
                    budget_.on_load_result(from, message, world_.now());
                });
            },
            [](auto const&) {
            }},
        action);
}

void product_policy::to_budget(
    std::uint32_t engine, std::function<void(node_id const&)> what) {
    std::uint32_t const from = owners_[engine].node;
    on_node(
        budget_node_, hop(from, budget_node_),
        [this, from, what = std::move(what)] {
            what(node_ids_[from]);
            pump_budget();
        });
}

void product_policy::pump_budget() {
    for (budget_action const& each : budget_.take_actions()) {
        auto const send = [this](node_id const& to, auto message, auto call) {
            std::uint32_t const node = node_of(to);
            std::uint32_t const engine = engine_of(message.replica);
            on_node(
                node, hop(budget_node_, node),
                [this, engine, node, message, call] {
                    if (owners_[engine].node == node) {
                        call(*owners_[engine].scheduler, message);
                        pump(engine);
                    }
                });
        };
        std::visit(
            overloaded{
                [&](send_load_allowed const& what) {
                    send(what.to, what.message, [this](auto& to, auto& said) {
                        to.on_load_allowed(said, world_.now());
                    });
                },
                [&](send_load_denied const& what) {
                    send(what.to, what.message, [this](auto& to, auto& said) {
                        to.on_load_denied(said, world_.now());
                    });
                },
                [](log_event const&) {
                }},
            each);
    }
}

void product_policy::carry_out(
    std::uint32_t engine, engine_order const& order) {
    std::uint32_t const node = owners_[engine].node;
    world_.loop().after(engine_hop(node, engine), [this, engine, order] {
        if (!world_.engine(engine).up()) {
            order_ended(order, order_result::not_sent);
        } else if (order.kind == engine_order_kind::load) {
            load(engine, order);
        } else {
            evict(engine, order);
        }
    });
}

void product_policy::load(std::uint32_t engine, engine_order const& order) {
    adapter_key const key = key_of(order.adapter);
    engine_model const& target = world_.engine(engine);
    if (target.resident(key)) {
        order_ended(order, order_result::done);
    } else if (target.slot(key) != nullptr || !target.has_free_slot()) {
        order_ended(order, order_result::refused_busy);
    } else {
        loading_[engine].push_back(order);
        world_.load(engine, key);
    }
}

void product_policy::evict(std::uint32_t engine, engine_order const& order) {
    adapter_key const key = key_of(order.adapter);
    slot_state const* const slot = world_.engine(engine).slot(key);
    bool const busy = slot != nullptr &&
                      (!slot->resident || slot->running + slot->waiting > 0);
    if (busy) {
        order_ended(order, order_result::refused_busy);
        return;
    }
    if (slot != nullptr) {
        world_.evict(engine, key);
    }
    order_ended(order, order_result::done);
}

void product_policy::order_ended(engine_order const& order, order_result how) {
    std::uint32_t const engine = engine_of(order.replica);
    std::uint32_t const node = owners_[engine].node;
    on_node(
        node, engine_hop(node, engine),
        [this, engine, order, how, epoch = owners_[engine].epoch] {
            if (owners_[engine].epoch == epoch) {
                owners_[engine].scheduler->on_command_result(
                    order, how, world_.now());
                pump(engine);
            }
        });
}

void product_policy::load_ended(
    std::uint32_t engine, adapter_key key, bool loaded) {
    auto& list = loading_[engine];
    adapter_ref const adapter = ref(key);
    auto const found = std::ranges::find(list, adapter, &engine_order::adapter);
    if (found == list.end()) {
        return;
    }
    engine_order const order = *found;
    list.erase(found);
    order_ended(order, loaded ? order_result::done : order_result::failed);
}

void product_policy::version_changed(std::uint32_t adapter) {
    std::uint32_t const version = world_.version(adapter);
    adapter_ref const from = ref({adapter, version - 1});
    adapter_ref const to = ref({adapter, version});
    for (std::uint32_t engine = 0; engine < owners_.size(); ++engine) {
        std::uint32_t const node = owners_[engine].node;
        on_owner(node, engine, [this, from, to](auto& scheduler) {
            scheduler.on_version_change(from, to, world_.now());
        });
    }
}

engine_report product_policy::report_of(std::uint32_t engine) const {
    engine_model const& source = world_.engine(engine);
    engine_report report;
    report.replica = engine_ids_[engine];
    report.incarnation = source.incarnation() + 1;
    report.running = source.running();
    report.queued = source.waiting();
    for (auto const& [key, slot] : source.slots()) {
        (slot.resident ? report.resident : report.loading).push_back(ref(key));
        if (slot.running + slot.waiting > 0) {
            report.in_use.push_back(ref(key));
        }
    }
    return report;
}

} // namespace camphorpoint::bench
