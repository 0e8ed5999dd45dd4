#include "Delivery/request_fingerprint.hpp"

#include "Core/hash.hpp"

#include <fmt/format.h>

#include <algorithm>

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

request_fingerprint fingerprint_prompt_part(std::string_view name) noexcept {
    // The seed keeps parts apart from whole requests.
    static std::uint64_t const seed = hash_text("prompt part");
    return request_fingerprint{combine_hashes(seed, hash_text(name))};
}

request_fingerprint fingerprint_combination(
    request_fingerprint left, request_fingerprint right) noexcept {
    auto const [first, second] = std::minmax(left, right);
    return request_fingerprint{combine_hashes(
        static_cast<std::uint64_t>(first), static_cast<std::uint64_t>(second))};
}

std::string to_string(request_fingerprint hash) {
    return fmt::format("{:016x}", static_cast<std::uint64_t>(hash));
}

std::string to_string(std::vector<request_fingerprint> const& digests) {
    std::string text;
    for (request_fingerprint const each : digests) {
        text += text.empty() ? "" : ",";
        text += to_string(each);
    }
    return text;
}

} // namespace camphorpoint
