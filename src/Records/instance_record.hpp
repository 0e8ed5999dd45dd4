#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorpoint {

/// What the platform says about an instance.
enum class instance_state : std::uint8_t { live, leaving };

/// An entry node of this system in the platform's list.
struct node_instance {
    node_id id;
    domain_id domain;
    /// Address and port of the node's peer interface (TCP and UDP).
    std::string peer_address;
    /// Address and port of the node's caller interface.
    std::string caller_address;
    instance_state state = instance_state::live;
    /// Its processor's share of a core, in percent; 0 when it is not known.
    std::uint32_t processor_percent = 0;

    friend bool
    operator==(node_instance const&, node_instance const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(id, domain, peer_address, caller_address, state);
    }
};

/// An endpoint in the platform's list.
struct endpoint_instance {
    endpoint_id id;
    domain_id domain;
    endpoint_kind kind = endpoint_kind::engine;
    /// Base model of an engine, name of a plain service.
    model_id model;
    std::string address;
    instance_state state = instance_state::live;
    /// True when the endpoint refuses orders that bear an old fencing number.
    bool checks_fencing = false;
    /// Adapter slots of an engine.
    std::uint32_t adapter_slots = 0;
    /// Sequences that an engine batches at the most; for a service, 0 when its
    /// capacity is not known.
    std::uint32_t batch_limit = 0;

    friend bool
    operator==(endpoint_instance const&, endpoint_instance const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(
            id, domain, kind, model, address, state, checks_fencing,
            adapter_slots, batch_limit);
    }
};

/// One answer of the platform's list; it lags behind the truth.
struct instance_list {
    std::vector<node_instance> nodes;
    std::vector<endpoint_instance> endpoints;
};

} // namespace camphorpoint
