#pragma once

#include "Core/strong_string.hpp"

#include <compare>
#include <cstdint>

namespace camphorpoint {

/// Names an entry node of this system, stable over restarts.
using node_id = strong_string<struct node_id_tag>;
/// Names an endpoint: a model engine's replica or a plain service's replica.
using endpoint_id = strong_string<struct endpoint_id_tag>;
/// Names a failure domain.
using domain_id = strong_string<struct domain_id_tag>;
/// Names a base model.
using model_id = strong_string<struct model_id_tag>;
/// Names a LoRA adapter, without its version.
using adapter_id = strong_string<struct adapter_id_tag>;
/// Names a profile, by which callers pick adapter and urgency.
using profile_name = strong_string<struct profile_name_tag>;
/// Names a version of the software that a replica runs, not of its weights.
using software_version = strong_string<struct software_version_tag>;
/// Names one request of one caller, unique over all nodes.
using request_id = strong_string<struct request_id_tag>;
/// A caller's own name for a piece of work, repeated when the caller retries.
using idempotency_key = strong_string<struct idempotency_key_tag>;
/// Names one configuration change, chosen by its publisher.
using change_id = strong_string<struct change_id_tag>;

/// A position in the platform's log; the first record has position 0.
struct log_offset {
    std::uint64_t value = 0;
    friend auto operator<=>(log_offset const&, log_offset const&) = default;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(value);
    }
};

/// An adapter in one version; a request runs on exactly one of these.
struct adapter_ref {
    adapter_id id;
    std::uint32_t version = 0;
    friend auto operator<=>(adapter_ref const&, adapter_ref const&) = default;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(id, version);
    }
};

} // namespace camphorpoint

template <>
struct std::hash<camphorpoint::adapter_ref> {
    std::size_t
    operator()(camphorpoint::adapter_ref const& ref) const noexcept {
        // An odd multiplier keeps versions of one adapter in different buckets.
        constexpr std::size_t version_spread = 0x9e3779b97f4a7c15ULL;
        return std::hash<camphorpoint::adapter_id>()(ref.id) ^
               (ref.version * version_spread);
    }
};
