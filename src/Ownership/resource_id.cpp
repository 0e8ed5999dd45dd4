#include "Ownership/resource_id.hpp"

#include <utility>

namespace camphorpoint {

namespace {

std::string_view to_string(resource_kind kind) noexcept {
    switch (kind) {
    case resource_kind::replica:
        return "replica";
    case resource_kind::store:
        return "store";
    case resource_kind::key_shard:
        return "key-shard";
    }
    return "unknown";
}

} // namespace

resource_id replica_resource(endpoint_id const& replica) {
    return {resource_kind::replica, replica.str()};
}

resource_id store_resource(std::string name) {
    return {resource_kind::store, std::move(name)};
}

resource_id key_shard_resource(std::uint32_t shard) {
    return {resource_kind::key_shard, std::to_string(shard)};
}

std::string to_string(resource_id const& resource) {
    std::string result(to_string(resource.kind));
    result += '/';
    result += resource.name;
    return result;
}

} // namespace camphorpoint
