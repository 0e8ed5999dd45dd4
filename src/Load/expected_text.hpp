#pragma once

#include "Core/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorpoint {

/// Digests a conversation message by message.
class prompt_digest {
public:
    /// Takes the next message.
    void add(std::string_view role, std::string_view content);
    /// @returns the digest of all messages so far
    std::uint64_t value() const noexcept { return value_; }

private:
    std::uint64_t value_ = 0;
};

/// The text of one token as the engine stand-in makes it. Since it follows
/// from adapter, version, prompt and place alone, whoever knows the request can
/// check each token of the answer: another adapter's or version's, a crossed
/// answer's, a missing or a repeated token differs.
/// @param adapter what the request runs on
/// @param prompt  digest of the messages
/// @param index   the token's place in the answer, from 0
/// @returns sixteen hexadecimal digits and a space
std::string expected_token(
    adapter_ref const& adapter, std::uint64_t prompt, std::uint32_t index);

} // namespace camphorpoint
