#include "Delivery/request_fingerprint.hpp"

#include "Core/hash.hpp"

#include <fmt/format.h>

namespace camphorpoint {

request_fingerprint fingerprint_request(
    std::string_view method, std::string_view host, std::string_view target,
    std::string_view body) noexcept {
    std::uint64_t hash = hash_text(method);
    for (std::string_view const part : {host, target, body}) {
        hash = combine_hashes(hash, hash_text(part));
    }
    return request_fingerprint{hash};
}

std::string to_string(request_fingerprint hash) {
    return fmt::format("{:016x}", static_cast<std::uint64_t>(hash));
}

} // namespace camphorpoint
