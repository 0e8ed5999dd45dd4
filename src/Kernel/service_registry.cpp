#include "Kernel/service_registry.hpp"

#include <algorithm>
#include <cassert>

namespace camphorpoint {

bool service_registry::ready(
    entry const& candidate, std::vector<service_name> const& before) const {
    return std::ranges::all_of(candidate.needs, [&](auto const& need) {
        return std::ranges::find(before, need) != before.end();
    });
}

std::vector<service_name>
service_registry::start_order(findings& problems) const {
    for (service_name const& name : repeated_) {
        problems.add({"services", 0, name.str()}, "is registered twice");
    }
    for (auto const& [name, service] : services_) {
        for (service_name const& need : service.needs) {
            if (!services_.contains(need)) {
                problems.add(
                    {"services", 0, name.str()},
                    "needs " + need.str() + ", which is not registered");
            }
        }
    }
    std::vector<service_name> order;
    std::vector<service_name> waiting;
    for (auto const& [name, service] : services_) {
        waiting.push_back(name);
    }
    for (;;) {
        auto const next = std::ranges::find_if(waiting, [&](auto const& name) {
            return ready(services_.at(name), order);
        });
        if (next == waiting.end()) {
            break;
        }
        order.push_back(*next);
        waiting.erase(next);
    }
    for (service_name const& name : waiting) {
        problems.add(
            {"services", 0, name.str()},
            "cannot start: its needs are missing or form a cycle");
    }
    return order;
}

start_result service_registry::start(service_name const& name) const {
    assert(services_.contains(name) && "the service must be registered");
    return services_.at(name).start();
}

void service_registry::stop(service_name const& name) const {
    assert(services_.contains(name) && "the service must be registered");
    services_.at(name).stop();
}

} // namespace camphorpoint
