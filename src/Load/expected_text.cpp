#include "Load/expected_text.hpp"

#include "Core/hash.hpp"

#include <fmt/format.h>

namespace camphorpoint {

void prompt_digest::add(std::string_view role, std::string_view content) {
    value_ = combine_hashes(value_, hash_text(role));
    value_ = combine_hashes(value_, hash_text(content));
}

std::string expected_token(
    adapter_ref const& adapter, std::uint64_t prompt, std::uint32_t index) {
    std::string const place = fmt::format("{}:{}", adapter.version, index);
    std::uint64_t const hash = combine_hashes(
        combine_hashes(hash_text(adapter.id.str()), prompt), hash_text(place));
    return fmt::format("{:016x} ", hash);
}

} // namespace camphorpoint
