#pragma once

#include <compare>
#include <cstdint>

namespace camphorpoint::bench {

/// An adapter in one version, by number: the bench's short form of
/// adapter_ref.
struct adapter_key {
    std::uint32_t adapter = 0;
    std::uint32_t version = 1;
    friend auto operator<=>(adapter_key const&, adapter_key const&) = default;
};

} // namespace camphorpoint::bench
