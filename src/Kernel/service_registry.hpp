#pragma once

#include "Core/findings.hpp"
#include "Core/strong_string.hpp"

#include <boost/outcome/outcome.hpp>

#include <concepts>
#include <functional>
#include <map>
#include <string>
#include <typeinfo>
#include <utility>
#include <vector>

namespace camphorpoint {

/// Names a service within one process.
using service_name = strong_string<struct service_name_tag>;

/// Why a service did not start.
struct start_error {
    std::string what;
};

/// What starting a service brings: nothing, or why it failed.
using start_result = boost::outcome_v2::unchecked<void, start_error>;

/// What the kernel asks of a service. start() must leave nothing running when
/// it fails; stop() is called once for each start() that succeeded.
template <class Service>
concept kernel_service = requires(Service& service) {
    { service.start() } -> std::same_as<start_result>;
    { service.stop() } -> std::same_as<void>;
};

/// The services of one process, found by name.
class service_registry {
public:
    /// Adds a service. The registry doesn't own it: it must outlive the
    /// registry.
    /// @param name    unique; a second service of the same name is a finding
    /// @param needs   names of the services that must run before it starts
    /// @param service the service
    template <kernel_service Service>
    void
    add(service_name name, std::vector<service_name> needs, Service& service);

    /// @param name the service's name
    /// @returns the service; null when there is none of that name and type
    template <class Service>
    Service* find(service_name const& name) const;

    /// Orders services so that each comes after all that it needs; services
    /// that don't depend on each other come in order of name.
    /// Source: A. B. Kahn, "Topological sorting of large networks", 1962.
    /// @param problems takes missing needs, repeated names and cycles
    /// @returns all names, or only those that can start when there are findings
    std::vector<service_name> start_order(findings& problems) const;

    /// Starts one service.
    start_result start(service_name const& name) const;
    /// Stops one service.
    void stop(service_name const& name) const;

private:
    struct entry {
        std::vector<service_name> needs;
        std::function<start_result()> start;
        std::function<void()> stop;
        void* object = nullptr;
        std::type_info const* type = nullptr;
    };

    bool ready(
        entry const& candidate, std::vector<service_name> const& before) const;

    std::map<service_name, entry> services_;
    std::vector<service_name> repeated_;
};

template <kernel_service Service>
void service_registry::add(
    service_name name, std::vector<service_name> needs, Service& service) {
    entry added{
        std::move(needs), [&service] { return service.start(); },
        [&service] { service.stop(); }, &service, &typeid(Service)};
    if (!services_.try_emplace(name, std::move(added)).second) {
        repeated_.push_back(std::move(name));
    }
}

template <class Service>
Service* service_registry::find(service_name const& name) const {
    auto const found = services_.find(name);
    if (found == services_.end() || *found->second.type != typeid(Service)) {
        return nullptr;
    }
    return static_cast<Service*>(found->second.object);
}

} // namespace camphorpoint
